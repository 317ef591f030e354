package nettletrail.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Aggregates requests with their bodies. Netty's aggregator reads an oversized body to its end
 * before it closes the connection; this one reports it at once. A request without a body, which
 * most are, bypasses the aggregation.
 */
public final class RequestAggregator extends HttpObjectAggregator {
  private final Runnable onBodyTooLarge;

  /** The head of a request without a body, until the end of the request has been read; or null. */
  private HttpRequest bodilessHead;

  /**
   * @param maxBodyBytes the largest permitted body
   * @param onBodyTooLarge called on the event loop for a larger body, of which nothing is kept
   */
  public RequestAggregator(int maxBodyBytes, Runnable onBodyTooLarge) {
    super(maxBodyBytes, true);
    this.onBodyTooLarge = onBodyTooLarge;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    HttpRequest head = bodilessHead;
    if (head == null) {
      if (message instanceof HttpRequest start
          && !(message instanceof FullHttpRequest)
          && hasNoBody(start)) {
        bodilessHead = start;
      } else {
        super.channelRead(context, message);
      }
      return;
    }
    bodilessHead = null;
    if (message == LastHttpContent.EMPTY_LAST_CONTENT) {
      context.fireChannelRead(
          new DefaultFullHttpRequest(
              head.protocolVersion(),
              head.method(),
              head.uri(),
              Unpooled.EMPTY_BUFFER,
              head.headers(),
              EmptyHttpHeaders.INSTANCE));
    } else {
      super.channelRead(context, head);
      super.channelRead(context, message);
    }
  }

  private static boolean hasNoBody(HttpRequest start) {
    HttpHeaders headers = start.headers();
    String bodyLength = headers.get(HttpHeaderNames.CONTENT_LENGTH);
    return (bodyLength == null || bodyLength.equals("0"))
        && start.decoderResult().isSuccess()
        && !headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
        && !headers.contains(HttpHeaderNames.EXPECT);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    onBodyTooLarge.run();
  }
}
