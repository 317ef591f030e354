package nettletrail.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;
import org.apache.avro.specific.SpecificRecord;

/**
 * Reads and writes the records in a shard's folder, in Avro's binary encoding (Avro 1.12
 * specification, "Binary Encoding"), without a schema in the file. Blocking.
 *
 * <p>The reading methods throw with step DECODE if the file is damaged.
 */
final class ShardRecords {

  private ShardRecords() {}

  /** Reads the highest promised proposal number. */
  static ProposalNumber readPromise(Directory directory) throws StorageException {
    return read(
        directory,
        StateLayout.PROMISE_FILE,
        RecordFormat.Kind.PROMISE,
        new SpecificDatumReader<>(ProposalNumber.class));
  }

  /** Replaces the promised proposal number, durably. */
  static void writePromise(Directory directory, ProposalNumber promised) throws StorageException {
    String name = StateLayout.PROMISE_FILE;
    byte[] payload = encode(name, promised, new SpecificDatumWriter<>(ProposalNumber.class));
    RecordFile.write(directory, name, RecordFormat.Kind.PROMISE, payload);
  }

  /** Reads a version. */
  static ShardVersion readVersion(Directory directory, String name) throws StorageException {
    return read(
        directory, name, RecordFormat.Kind.VERSION, new SpecificDatumReader<>(ShardVersion.class));
  }

  /** Writes a version, durably. */
  static void writeVersion(Directory directory, String name, ShardVersion version)
      throws StorageException {
    byte[] payload = encode(name, version, new SpecificDatumWriter<>(ShardVersion.class));
    RecordFile.write(directory, name, RecordFormat.Kind.VERSION, payload);
  }

  private static <T> T read(
      Directory directory, String name, RecordFormat.Kind kind, SpecificDatumReader<T> reader)
      throws StorageException {
    byte[] payload = RecordFile.read(directory, name, kind);
    try {
      return reader.read(null, DecoderFactory.get().binaryDecoder(payload, null));
    } catch (IOException | RuntimeException malformed) {
      throw new StorageException(
          StorageException.Step.DECODE, name, "malformed record: " + malformed, malformed);
    }
  }

  private static <T extends SpecificRecord> byte[] encode(
      String name, T record, SpecificDatumWriter<T> writer) throws StorageException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BinaryEncoder encoder = EncoderFactory.get().binaryEncoder(bytes, null);
    try {
      writer.write(record, encoder);
      encoder.flush();
    } catch (IOException failure) {
      throw new StorageException(StorageException.Step.WRITE, name, failure.toString(), failure);
    }
    return bytes.toByteArray();
  }
}
