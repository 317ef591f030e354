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
 * Gathers whole calls. Netty's aggregator answers {@code Expect} and bodies that are too large as
 * soon as it has read the head, which on a connection whose earlier calls still wait would be taken
 * for the answer to one of those. Here an expectation is passed over then, as RFC 9110 section
 * 10.1.1 allows, and a body that is too large becomes a call that can't be read: it is refused in
 * its turn.
 */
final class CallAggregator extends HttpObjectAggregator {
  private final BooleanSupplier owesAnswers;

  /**
   * An aggregator of one connection.
   *
   * @param owesAnswers whether an earlier call of the connection waits for its answer
   */
  CallAggregator(int maxBodyBytes, BooleanSupplier owesAnswers) {
    super(maxBodyBytes, true);
    this.owesAnswers = owesAnswers;
  }

  @Override
  protected Object newContinueResponse(
      HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
    return owesAnswers.getAsBoolean()
        ? null
        : super.newContinueResponse(start, maxContentLength, pipeline);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized)
      throws Exception {
    if (owesAnswers.getAsBoolean() && oversized instanceof HttpRequest request) {
      context.fireChannelRead(unreadable(request));
    } else {
      super.handleOversizedMessage(context, oversized);
    }
  }

  private static DefaultFullHttpRequest unreadable(HttpRequest request) {
    DefaultFullHttpRequest refused =
        new DefaultFullHttpRequest(
            request.protocolVersion(), request.method(), request.uri(), Unpooled.EMPTY_BUFFER);
    refused.setDecoderResult(
        DecoderResult.failure(new TooLongHttpContentException("the body is too large")));
    return refused;
  }
}
