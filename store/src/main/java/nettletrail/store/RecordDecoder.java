package nettletrail.store;

import java.io.IOException;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.specific.SpecificDatumReader;

/** Reads the Avro records of a shard's files; throws with step DECODE if one is damaged. */
final class RecordDecoder {

  private RecordDecoder() {}

  /** Reads a promise. */
  static ProposalNumber readPromise(Directory directory, String name) throws StorageException {
    return read(
        directory, name, RecordFile.Kind.PROMISE, new SpecificDatumReader<>(ProposalNumber.class));
  }

  /** Reads a version. */
  static ShardVersion readVersion(Directory directory, String name) throws StorageException {
    return read(
        directory, name, RecordFile.Kind.VERSION, new SpecificDatumReader<>(ShardVersion.class));
  }

  private static <T> T read(
      Directory directory, String name, RecordFile.Kind kind, SpecificDatumReader<T> reader)
      throws StorageException {
    byte[] payload = RecordFile.read(directory, name, kind);
    try {
      return reader.read(null, DecoderFactory.get().binaryDecoder(payload, null));
    } catch (IOException | RuntimeException malformed) {
      throw new StorageException(
          StorageException.Step.DECODE, name, "malformed record: " + malformed, malformed);
    }
  }
}
