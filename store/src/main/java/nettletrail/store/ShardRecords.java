package nettletrail.store;

import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;

/**
 * Reads and writes the records in a shard's folder. Blocking.
 *
 * <p>The reading methods throw with step DECODE if the file is damaged.
 */
final class ShardRecords {

  private ShardRecords() {}

  /** Reads the highest promised proposal number. */
  static ProposalNumber readPromise(Directory directory) throws StorageException {
    return AvroFile.read(
        directory,
        StateLayout.PROMISE_FILE,
        RecordFormat.Kind.PROMISE,
        new SpecificDatumReader<>(ProposalNumber.class));
  }

  /** Replaces the promised proposal number, durably. */
  static void writePromise(Directory directory, ProposalNumber promised) throws StorageException {
    AvroFile.write(
        directory,
        StateLayout.PROMISE_FILE,
        RecordFormat.Kind.PROMISE,
        promised,
        new SpecificDatumWriter<>(ProposalNumber.class));
  }

  /** Reads a version. */
  static ShardVersion readVersion(Directory directory, String name) throws StorageException {
    return AvroFile.read(
        directory, name, RecordFormat.Kind.VERSION, new SpecificDatumReader<>(ShardVersion.class));
  }

  /** Writes a version, durably. */
  static void writeVersion(Directory directory, String name, ShardVersion version)
      throws StorageException {
    AvroFile.write(
        directory,
        name,
        RecordFormat.Kind.VERSION,
        version,
        new SpecificDatumWriter<>(ShardVersion.class));
  }
}
