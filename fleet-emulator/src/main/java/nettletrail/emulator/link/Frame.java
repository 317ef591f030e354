package nettletrail.emulator.link;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import nettletrail.emulator.simulation.Payload;
import nettletrail.protocol.Envelope;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;
import org.apache.avro.specific.SpecificRecord;

/** One message in its wire format, so that sender and receiver share no object. */
final class Frame implements Payload {
  private static final SpecificDatumWriter<Envelope> WRITER =
      new SpecificDatumWriter<>(Envelope.getClassSchema());
  private static final SpecificDatumReader<Envelope> READER =
      new SpecificDatumReader<>(Envelope.getClassSchema());

  private final byte[] bytes;

  private Frame(byte[] bytes) {
    this.bytes = bytes;
  }

  static Frame encode(SpecificRecord message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BinaryEncoder encoder = EncoderFactory.get().directBinaryEncoder(bytes, null);
    try {
      WRITER.write(new Envelope(message), encoder);
      encoder.flush();
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
    return new Frame(bytes.toByteArray());
  }

  SpecificRecord decode() {
    try {
      Envelope envelope = READER.read(null, DecoderFactory.get().binaryDecoder(bytes, null));
      return (SpecificRecord) envelope.getBody();
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }
}
