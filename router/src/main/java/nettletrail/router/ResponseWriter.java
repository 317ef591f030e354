package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponse;
import nettletrail.http.LingeringClose;
import nettletrail.upstream.HeadBytes;

/**
 * Writes responses to one client connection: complete ones, or streams in chunks. After the last
 * response the connection is closed by a lingering close, so that the client can read it. On the
 * event loop.
 */
final class ResponseWriter {
  private static final byte[] LAST_CHUNK = {'0', '\r', '\n', '\r', '\n'};

  private final Channel channel;

  /** The decoder's context: bytes written from here pass no HTTP handler. */
  private final ChannelHandlerContext byteContext;

  private final ChunkWriter chunks = new ChunkWriter();
  private boolean streaming;
  private boolean closeAfterStream;

  /** Unwritten bytes at the latest {@link #isStalled}, and since when their number is the same. */
  private long lastUnwritten;

  private long lastUnwrittenSince;

  ResponseWriter(ChannelHandlerContext byteContext) {
    this.byteContext = byteContext;
    channel = byteContext.channel();
  }

  /**
   * Writes a complete response.
   *
   * @param body not released here
   * @param last whether the connection closes after it
   */
  void write(HeadBytes head, ByteBuf body, boolean last) {
    if (last) {
      LingeringClose.discardInput(channel.pipeline());
      head.writeTo(byteContext, body, channel.newPromise())
          .addListener(written -> LingeringClose.closeAfterLinger((SocketChannel) channel));
    } else {
      head.writeTo(byteContext, body, channel.voidPromise());
    }
  }

  /** Whether a streamed response has begun and not ended. */
  boolean isStreaming() {
    return streaming;
  }

  /** Writes the head of a streamed response. */
  void beginStream(HttpResponse response, boolean last) {
    streaming = true;
    closeAfterStream = last;
    ResponseHead.of(response, ResponseHead.LENGTH_CHUNKED, last)
        .writeTo(byteContext, Unpooled.EMPTY_BUFFER, channel.voidPromise());
  }

  /**
   * Adds bytes to the body; they are sent with {@link #flushStream}. The source's indices don't
   * change.
   */
  void addToStream(ByteBuf source, int from, int length) {
    if (channel.isActive()) {
      chunks.add(channel.alloc(), source, from, length);
    }
  }

  /** Sends the added bytes as one chunk. */
  void flushStream() {
    ByteBuf chunk = chunks.poll();
    if (chunk != null) {
      byteContext.writeAndFlush(chunk, channel.voidPromise());
    }
  }

  /**
   * Completes the streamed response.
   *
   * @return whether the connection closes after it
   */
  boolean endStream() {
    flushStream();
    streaming = false;
    ByteBuf end = Unpooled.wrappedBuffer(LAST_CHUNK);
    if (!closeAfterStream) {
      byteContext.writeAndFlush(end, channel.voidPromise());
      return false;
    }
    LingeringClose.discardInput(channel.pipeline());
    byteContext
        .writeAndFlush(end, channel.newPromise())
        .addListener(written -> LingeringClose.closeAfterLinger((SocketChannel) channel));
    return true;
  }

  /** Ends the streamed response without its last chunk, and closes the connection. */
  void breakStream() {
    flushStream();
    streaming = false;
    byteContext
        .writeAndFlush(Unpooled.EMPTY_BUFFER, channel.newPromise())
        .addListener(written -> channel.close());
  }

  /** Bytes of responses that the kernel has not accepted. */
  long unwritten() {
    ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
    return out == null ? 0 : out.totalPendingWriteBytes();
  }

  /** Whether the kernel has accepted none of the unwritten bytes for a time. */
  boolean isStalled(long now, long timeoutNanos) {
    long unwritten = unwritten();
    if (unwritten == 0 || unwritten != lastUnwritten) {
      lastUnwritten = unwritten;
      lastUnwrittenSince = now;
    }
    return unwritten > 0 && now - lastUnwrittenSince > timeoutNanos;
  }

  /** Releases the bytes that were added and not sent. */
  void drop() {
    chunks.drop();
  }
}
