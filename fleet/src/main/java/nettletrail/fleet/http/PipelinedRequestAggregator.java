package nettletrail.fleet.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.function.BooleanSupplier;

/**
 * Assembles complete requests on a connection with pipelining.
 *
 * <p>Netty's aggregator responds to {@code Expect} and to bodies that are too large as soon as it
 * has read the head. If earlier requests are still pending, the client would take that response for
 * the response to one of them. While there are any, an expectation is therefore ignored, as RFC
 * 9110 section 10.1.1 allows, and a body that is too large is passed on as a request whose decoding
 * failed, so that it is rejected in its turn.
 *
 * <p>The next handler releases the requests that it is given.
 */
final class PipelinedRequestAggregator extends HttpObjectAggregator {
  private final BooleanSupplier hasPendingRequests;

  /**
   * Creates the aggregator of one connection.
   *
   * @param maxBodyBytes size above which a body is too large
   * @param hasPendingRequests whether an earlier request of the connection has no response yet
   */
  PipelinedRequestAggregator(int maxBodyBytes, BooleanSupplier hasPendingRequests) {
    super(maxBodyBytes, true);
    this.hasPendingRequests = hasPendingRequests;
  }

  @Override
  protected Object newContinueResponse(
      HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
    return hasPendingRequests.getAsBoolean()
        ? null
        : super.newContinueResponse(start, maxContentLength, pipeline);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized)
      throws Exception {
    if (hasPendingRequests.getAsBoolean() && oversized instanceof HttpRequest request) {
      context.fireChannelRead(undecodable(request));
    } else {
      super.handleOversizedMessage(context, oversized);
    }
  }

  private static DefaultFullHttpRequest undecodable(HttpRequest request) {
    DefaultFullHttpRequest rejected =
        new DefaultFullHttpRequest(
            request.protocolVersion(), request.method(), request.uri(), Unpooled.EMPTY_BUFFER);
    rejected.setDecoderResult(
        DecoderResult.failure(new TooLongHttpContentException("the body is too large")));
    return rejected;
  }
}
