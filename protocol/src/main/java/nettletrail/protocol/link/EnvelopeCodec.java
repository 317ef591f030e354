package nettletrail.protocol.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import java.io.IOException;
import nettletrail.protocol.Envelope;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;
import org.apache.avro.specific.SpecificRecord;

/**
 * Encodes and decodes envelopes in Avro's binary encoding. Encoder and decoder are reused for all
 * messages, so an instance is for one thread. Buffers are neither retained nor released here.
 */
public final class EnvelopeCodec {
  private final SpecificDatumWriter<Envelope> writer = new SpecificDatumWriter<>(Envelope.class);
  private final SpecificDatumReader<Envelope> reader = new SpecificDatumReader<>(Envelope.class);
  private final Envelope outgoing = new Envelope();
  private final BoundedBinaryDecoder decoder = new BoundedBinaryDecoder();
  private BinaryEncoder encoder;

  /**
   * Appends a message to a buffer. After a failure the buffer may have a part of the message.
   *
   * @param peer who it is for, named in the error
   * @throws ProtocolException with step ENCODE if the message lacks a field or is no member of the
   *     envelope
   */
  public void encode(SpecificRecord body, ByteBuf target, String peer) throws ProtocolException {
    outgoing.setBody(body);
    try {
      encoder = EncoderFactory.get().binaryEncoder(new ByteBufOutputStream(target), encoder);
      writer.write(outgoing, encoder);
      encoder.flush();
    } catch (IOException | RuntimeException failure) {
      encoder = null;
      throw new ProtocolException(
          LinkStep.ENCODE, peer, body.getSchema().getName() + ": " + failure, failure);
    } finally {
      outgoing.setBody(null);
    }
  }

  /**
   * Decodes the message in a frame, to its last byte.
   *
   * @param peer who sent it, named in the error
   * @throws ProtocolException with step DECODE if the frame isn't exactly one envelope
   */
  public SpecificRecord decode(ByteBuf frame, String peer) throws ProtocolException {
    int length = frame.readableBytes();
    decoder.setFrame(frame);
    try {
      Envelope envelope = reader.read(null, decoder);
      if (!decoder.isEnd()) {
        throw new ProtocolException(LinkStep.DECODE, peer, "bytes after the message");
      }
      return (SpecificRecord) envelope.getBody();
    } catch (IOException | RuntimeException failure) {
      throw new ProtocolException(
          LinkStep.DECODE, peer, "frame of " + length + " bytes: " + failure, failure);
    } finally {
      decoder.setFrame(null);
    }
  }
}
