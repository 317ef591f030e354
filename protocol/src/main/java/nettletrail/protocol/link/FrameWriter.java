package nettletrail.protocol.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import org.apache.avro.specific.SpecificRecord;

/**
 * Writes messages as frames to one channel, within the bounds on a frame and on the outbound
 * buffer. Lives on the event loop.
 *
 * <p>Writes are flushed once at the end of the event loop's turn, so that all messages of one turn
 * leave in few packets. Frames are allocated here; the channel releases those that it was given,
 * the others are released here.
 */
final class FrameWriter {
  /** The size of the length field: four bytes, big endian, not counting themselves. */
  static final int LENGTH_FIELD_BYTES = 4;

  private final Channel channel;
  private final EnvelopeCodec codec;
  private final LinkSettings settings;
  private boolean flushScheduled;

  FrameWriter(Channel channel, EnvelopeCodec codec, LinkSettings settings) {
    this.channel = channel;
    this.codec = codec;
    this.settings = settings;
  }

  /**
   * Writes a message.
   *
   * @param peer who it is for, named in the error
   * @return the size of its frame with the length field, in bytes
   * @throws ProtocolException with step ENCODE if the message is incomplete or too long: only this
   *     message is lost; with step BUFFER if the peer reads too slowly to take any more
   */
  int write(SpecificRecord body, String peer) throws ProtocolException {
    ByteBuf frame = channel.alloc().buffer();
    int bytes;
    try {
      encode(body, frame, peer);
      bytes = frame.readableBytes();
      requireBufferSpace(bytes, peer);
    } catch (ProtocolException failure) {
      frame.release();
      throw failure;
    }
    channel.write(frame, channel.voidPromise());
    scheduleFlush();
    return bytes;
  }

  private void encode(SpecificRecord body, ByteBuf frame, String peer) throws ProtocolException {
    frame.writeZero(LENGTH_FIELD_BYTES);
    codec.encode(body, frame, peer);
    int length = frame.readableBytes() - LENGTH_FIELD_BYTES;
    if (length > settings.maxFrameBytes()) {
      throw new ProtocolException(
          LinkStep.ENCODE, peer, length + " bytes, more than a frame may hold");
    }
    frame.setInt(0, length);
  }

  /** A frame that finds the buffer empty is always accepted, so that a long one isn't stuck. */
  private void requireBufferSpace(int bytes, String peer) throws ProtocolException {
    ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
    long pendingBytes = outbound == null ? 0 : outbound.totalPendingWriteBytes();
    if (pendingBytes > 0 && pendingBytes + bytes > settings.maxOutboundBytes()) {
      throw new ProtocolException(LinkStep.BUFFER, peer, pendingBytes + " bytes wait for the peer");
    }
  }

  private void scheduleFlush() {
    if (flushScheduled) {
      return;
    }
    flushScheduled = true;
    channel.eventLoop().execute(this::flush);
  }

  private void flush() {
    flushScheduled = false;
    channel.flush();
  }
}
