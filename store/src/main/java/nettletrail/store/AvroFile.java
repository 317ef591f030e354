package nettletrail.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;
import org.apache.avro.specific.SpecificRecord;

/**
 * Reads and atomically replaces files with one record each, in Avro's binary encoding (Avro 1.12
 * specification, "Binary Encoding"), without a schema in the file. Blocking.
 */
final class AvroFile {

  private AvroFile() {}

  /**
   * Reads the record of a file.
   *
   * @throws StorageException with step DECODE if the file is damaged or of another kind
   */
  static <T> T read(
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

  /** Replaces a file durably, as {@link RecordFile#write}. */
  static <T extends SpecificRecord> void write(
      Directory directory,
      String name,
      RecordFormat.Kind kind,
      T record,
      SpecificDatumWriter<T> writer)
      throws StorageException {
    RecordFile.write(directory, name, kind, encode(name, record, writer));
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
