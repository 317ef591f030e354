package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import nettletrail.router.text.DecimalNumber;

/**
 * Admits the bodies of one connection's requests to the router's {@link BufferMemory}, before the
 * aggregator holds them. A request without room for its body is rejected at its head, one of
 * unknown length as soon as the room is used up. On the event loop.
 */
final class RequestBodyAdmission extends ChannelInboundHandlerAdapter {
  /** The connection, as this handler sees it. */
  interface Connection {
    /** There is no room for the body of the request whose head was decoded last. */
    void rejectUnadmitted();

    /** The end of a request was read whose head was passed to {@link #rejectUnadmitted}. */
    void unadmittedRequestEnded();

    /** There is no room for the rest of a body, of which a part was passed on. */
    void rejectIncomplete();
  }

  /** A part that fills less of the buffer it was read into is copied. */
  private static final double MIN_FILL = BufferMemory.SHARE_OF_LARGE_BODIES;

  private final BufferMemory memory;
  private final int maxBodyBytes;
  private final Connection connection;

  /** Bytes of the current body that were admitted and haven't arrived yet. */
  private long expectedBytes;

  /** Whether the length of the current body was declared. */
  private boolean declared;

  /** Bytes of the current body that have arrived. */
  private long receivedBytes;

  /** The current request is rejected: the rest of it is dropped. */
  private boolean rejected;

  /**
   * @param maxBodyBytes a larger body is left to the aggregator, which rejects it
   */
  RequestBodyAdmission(BufferMemory memory, int maxBodyBytes, Connection connection) {
    this.memory = memory;
    this.maxBodyBytes = maxBodyBytes;
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpRequest head) {
      begin(head);
    }
    if (message instanceof HttpContent content) {
      receive(content);
    }
    if (rejected) {
      drop(message);
    } else if (message instanceof HttpContent content) {
      context.fireChannelRead(compact(context, content));
    } else {
      context.fireChannelRead(message);
    }
  }

  private void begin(HttpRequest head) {
    expectNoMore();
    rejected = false;
    receivedBytes = 0;
    long length = DecimalNumber.parse(head.headers().get(HttpHeaderNames.CONTENT_LENGTH));
    declared = length >= 0;
    if (length <= 0 || length > maxBodyBytes || head.decoderResult().isFailure()) {
      return;
    }
    if (memory.admit(length)) {
      expectedBytes = length;
    } else {
      rejected = true;
      connection.rejectUnadmitted();
    }
  }

  private void receive(HttpContent content) {
    int bytes = content.content().readableBytes();
    receivedBytes += bytes;
    long arrived = Math.min(bytes, expectedBytes);
    expectedBytes -= arrived;
    memory.noLongerExpected(arrived);
    if (!rejected && !declared && bytes > 0 && !memory.hasRoomFor(bytes, receivedBytes)) {
      rejected = true;
      connection.rejectIncomplete();
    }
  }

  private void drop(Object message) {
    ReferenceCountUtil.release(message);
    if (message instanceof LastHttpContent) {
      rejected = false;
      connection.unadmittedRequestEnded();
    }
  }

  /** Copies a part that would keep a much larger buffer in use. */
  private static HttpContent compact(ChannelHandlerContext context, HttpContent content) {
    ByteBuf part = content.content();
    int bytes = part.readableBytes();
    ByteBuf buffer = part.unwrap() == null ? part : part.unwrap();
    boolean fillsBuffer = bytes >= MIN_FILL * buffer.capacity();
    if (bytes == 0 || fillsBuffer || content.decoderResult().isFailure()) {
      return content;
    }
    HttpContent copy = content.replace(context.alloc().directBuffer(bytes, bytes).writeBytes(part));
    content.release();
    return copy;
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    expectNoMore();
    context.fireChannelInactive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    expectNoMore();
  }

  private void expectNoMore() {
    memory.noLongerExpected(expectedBytes);
    expectedBytes = 0;
  }
}
