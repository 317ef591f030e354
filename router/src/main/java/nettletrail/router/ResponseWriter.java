package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponse;
import nettletrail.http.Farewell;
import nettletrail.upstream.HeadBytes;

/**
 * Writes answers to one client's connection: whole ones, or such whose body comes in parts. An
 * answer that is the last one ends the connection in a way that lets the client read it. On the
 * event loop.
 */
final class ResponseWriter {
  private static final byte[] LAST_CHUNK = {'0', '\r', '\n', '\r', '\n'};

  private final Channel channel;

  /** From where on there are only bytes. */
  private final ChannelHandlerContext wire;

  private final ChunkWriter chunks = new ChunkWriter();
  private boolean streaming;
  private boolean lastAfterStream;

  /**
   * Bytes of answers that the client had not taken when that was last asked, and since when it has
   * taken none of them.
   */
  private long unwrittenBefore;

  private long unwrittenSince;

  ResponseWriter(ChannelHandlerContext wire) {
    this.wire = wire;
    channel = wire.channel();
  }

  /**
   * Writes a whole answer.
   *
   * @param body not released here
   * @param last whether the connection ends with it
   */
  void write(HeadBytes head, ByteBuf body, boolean last) {
    if (last) {
      Farewell.stopReading(channel.pipeline());
      head.writeTo(wire, body, channel.newPromise())
          .addListener(written -> Farewell.end((SocketChannel) channel));
    } else {
      head.writeTo(wire, body, channel.voidPromise());
    }
  }

  /** Whether an answer has begun whose body comes in parts. */
  boolean isStreaming() {
    return streaming;
  }

  /** Begins such an answer. */
  void beginStream(HttpResponse answer, boolean last) {
    streaming = true;
    lastAfterStream = last;
    ResponseHead.of(answer, ResponseHead.LENGTH_CHUNKED, last)
        .writeTo(wire, Unpooled.EMPTY_BUFFER, channel.voidPromise());
  }

  /**
   * Adds bytes to the body; they go out with {@link #flushStream}. The source's indices are not
   * moved.
   */
  void streamBytes(ByteBuf source, int from, int length) {
    if (channel.isActive()) {
      chunks.add(channel.alloc(), source, from, length);
    }
  }

  /** Sends what was added. */
  void flushStream() {
    ByteBuf chunk = chunks.take();
    if (chunk != null) {
      wire.writeAndFlush(chunk, channel.voidPromise());
    }
  }

  /**
   * The streamed answer is whole.
   *
   * @return whether the connection ends with it
   */
  boolean endStream() {
    flushStream();
    streaming = false;
    ByteBuf end = Unpooled.wrappedBuffer(LAST_CHUNK);
    if (!lastAfterStream) {
      wire.writeAndFlush(end, channel.voidPromise());
      return false;
    }
    Farewell.stopReading(channel.pipeline());
    wire.writeAndFlush(end, channel.newPromise())
        .addListener(written -> Farewell.end((SocketChannel) channel));
    return true;
  }

  /** The streamed answer will not be whole: the connection ends without its last chunk. */
  void breakStream() {
    flushStream();
    streaming = false;
    wire.writeAndFlush(Unpooled.EMPTY_BUFFER, channel.newPromise())
        .addListener(written -> channel.close());
  }

  /** Bytes of answers that the kernel has not taken yet. */
  long unwritten() {
    ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
    return out == null ? 0 : out.totalPendingWriteBytes();
  }

  /** Whether the client has taken nothing of its answers for so long. */
  boolean isStuck(long now, long maxNanos) {
    long left = unwritten();
    if (left == 0 || left != unwrittenBefore) {
      unwrittenBefore = left;
      unwrittenSince = now;
    }
    return left > 0 && now - unwrittenSince > maxNanos;
  }

  /** Frees what was added and not sent. */
  void drop() {
    chunks.drop();
  }
}
