package nettletrail.router;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;

/**
 * Orders the aggregator's responses to {@code Expect: 100-continue} (RFC 9110, section 10.1.1)
 * after the responses to earlier requests of the same connection. The aggregator writes them as
 * soon as a head is decoded, when an earlier response may be pending or incomplete. A 100 is
 * deferred; a rejection is left to the connection, which closes after its pending responses.
 */
final class ExpectContinueHandler extends ChannelOutboundHandlerAdapter {
  /** The connection, as this handler sees it. */
  interface Connection {
    /** Whether a response to an earlier request is pending, or no more requests are accepted. */
    boolean hasPendingResponses();

    /** Rejects the request whose head was decoded last, before its body is read. */
    void rejectUnread(HttpResponseStatus status);
  }

  private final Connection connection;
  private ChannelHandlerContext context;
  private boolean continuePending;

  ExpectContinueHandler(Connection connection) {
    this.connection = connection;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void write(ChannelHandlerContext from, Object message, ChannelPromise promise) {
    if (!(message instanceof FullHttpResponse interim)) {
      from.write(message, promise);
      return;
    }
    boolean accepted = interim.status().equals(HttpResponseStatus.CONTINUE);
    if (accepted && !connection.hasPendingResponses()) {
      from.write(message, promise);
      return;
    }
    ReferenceCountUtil.release(message);
    if (accepted) {
      continuePending = true;
    } else {
      connection.rejectUnread(interim.status());
    }
    // The promise stays incomplete: on it the aggregator would close the connection at once.
  }

  /** All earlier responses are written: sends a deferred 100. */
  void allResponsesSent() {
    if (continuePending) {
      continuePending = false;
      context.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  /** The client sent the body without waiting for the 100. */
  void bodyReceived() {
    continuePending = false;
  }
}
