package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.function.IntSupplier;
import nettletrail.router.text.DecimalNumber;

/**
 * Admits the bodies of one connection's requests, before the aggregator holds them: by the limit of
 * the configuration in force when the head was read, and to the router's {@link BufferMemory}. A
 * request without room for its body is rejected at its head, one of unknown length as soon as the
 * room is used up. On the event loop.
 */
final class RequestBodyAdmission extends ChannelInboundHandlerAdapter {
  /** The connection, as this handler sees it. */
  interface Connection {
    /** The body of the request whose head was decoded last is larger than the limit permits. */
    void rejectTooLarge();

    /** There is no room for the body of the request whose head was decoded last. */
    void rejectUnadmitted();

    /** The end of a request was read that was rejected before its end. */
    void unadmittedRequestEnded();

    /** There is no room for the rest of a body, of which a part was passed on. */
    void rejectIncomplete();
  }

  /** A part that fills less of the buffer it was read into is copied. */
  private static final double MIN_FILL = BufferMemory.SHARE_OF_LARGE_BODIES;

  private final BufferMemory memory;
  private final IntSupplier bodyLimit;
  private final Connection connection;

  /** Bytes of the current body that were admitted and haven't arrived yet. */
  private long expectedBytes;

  /** The largest body that is permitted, as it was when the current head was read. */
  private int maxBodyBytes;

  /** Whether the length of the current body was declared. */
  private boolean declared;

  /** Bytes of the current body that have arrived. */
  private long receivedBytes;

  /** The current request is rejected: the rest of it is dropped. */
  private boolean rejected;

  /**
   * @param bodyLimit the largest body that is permitted now, in bytes; read at each head
   */
  RequestBodyAdmission(BufferMemory memory, IntSupplier bodyLimit, Connection connection) {
    this.memory = memory;
    this.bodyLimit = bodyLimit;
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
    maxBodyBytes = bodyLimit.getAsInt();
    long length = DecimalNumber.parse(head.headers().get(HttpHeaderNames.CONTENT_LENGTH));
    declared = length >= 0;
    if (length <= 0 || head.decoderResult().isFailure()) {
      return;
    }
    if (length > maxBodyBytes) {
      rejected = true;
      connection.rejectTooLarge();
    } else if (memory.admit(length)) {
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
    if (rejected || declared || bytes == 0) {
      return;
    }
    if (receivedBytes > maxBodyBytes) {
      rejected = true;
      connection.rejectTooLarge();
    } else if (!memory.hasRoomFor(bytes, receivedBytes)) {
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
