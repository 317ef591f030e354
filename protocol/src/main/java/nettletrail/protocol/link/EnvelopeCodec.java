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
 * Avro binary of envelopes, with encoder and decoder used again for each message. Not safe for
 * several threads.
 */
public final class EnvelopeCodec {
  private final SpecificDatumWriter<Envelope> writer = new SpecificDatumWriter<>(Envelope.class);
  private final SpecificDatumReader<Envelope> reader = new SpecificDatumReader<>(Envelope.class);
  private final Envelope outgoing = new Envelope();
  private final FrameDecoder decoder = new FrameDecoder();
  private BinaryEncoder encoder;

  /**
   * Appends a message to a buffer.
   *
   * @param peer who it is for, named in the error
   * @throws ProtocolException if the message lacks a field or is no member of the envelope
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
   * Reads the message that a frame holds, to its last byte. The frame isn't released.
   *
   * @param peer who sent it, named in the error
   * @throws ProtocolException if the frame isn't one whole envelope
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
