package nettletrail.router;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * The request of one connection whose head has come and whose body has not come whole. Stands
 * between the decoder and the aggregator of bodies, and changes nothing.
 */
final class PartialRequest extends ChannelInboundHandlerAdapter {
  private HttpRequest head;
  private long since;

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpRequest request) {
      head = request;
      since = System.nanoTime();
    }
    boolean complete = message instanceof LastHttpContent;
    context.fireChannelRead(message);
    if (complete) {
      head = null;
    }
  }

  /** Its head; null if there is none. Still set while the whole request is handed on. */
  HttpRequest head() {
    return head;
  }

  /** When the head came that came last, ns. */
  long since() {
    return since;
  }
}
