package nettletrail.protocol.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import java.io.IOException;
import nettletrail.protocol.Envelope;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;
import org.apache.avro.specific.SpecificRecord;

/** Avro binary of envelopes, with encoder and decoder used again for each message. Not safe for several threads. */
public final class EnvelopeCodec {
  private static final int LARGEST_KEPT_COPY = 64 * 1024;

  private final SpecificDatumWriter<Envelope> writer = new SpecificDatumWriter<>(Envelope.class);
  private final SpecificDatumReader<Envelope> reader = new SpecificDatumReader<>(Envelope.class);
  private final Envelope outgoing = new Envelope();
  private BinaryEncoder encoder;
  private BinaryDecoder decoder;
  private byte[] keptCopy = new byte[1024];

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
   * Reads the message that a frame holds, to its last byte. The frame stays the caller's.
   *
   * @param peer who sent it, named in the error
   * @throws ProtocolException if the frame isn't one whole envelope
   */
  public SpecificRecord decode(ByteBuf frame, String peer) throws ProtocolException {
    int length = frame.readableBytes();
    try {
      decoder = decoderOf(frame, length);
      Envelope envelope = reader.read(null, decoder);
      if (!decoder.isEnd()) {
        throw new ProtocolException(LinkStep.DECODE, peer, "bytes after the message");
      }
      return (SpecificRecord) envelope.getBody();
    } catch (IOException | RuntimeException failure) {
      decoder = null;
      throw new ProtocolException(
          LinkStep.DECODE, peer, "frame of " + length + " bytes: " + failure, failure);
    }
  }

  private BinaryDecoder decoderOf(ByteBuf frame, int length) {
    DecoderFactory factory = DecoderFactory.get();
    if (frame.hasArray()) {
      int offset = frame.arrayOffset() + frame.readerIndex();
      return factory.binaryDecoder(frame.array(), offset, length, decoder);
    }
    byte[] copy = copyOfLength(length);
    frame.getBytes(frame.readerIndex(), copy, 0, length);
    return factory.binaryDecoder(copy, 0, length, decoder);
  }

  private byte[] copyOfLength(int length) {
    if (length > LARGEST_KEPT_COPY) {
      return new byte[length];
    }
    if (length > keptCopy.length) {
      keptCopy = new byte[Math.min(LARGEST_KEPT_COPY, Integer.highestOneBit(length) * 2)];
    }
    return keptCopy;
  }
}
