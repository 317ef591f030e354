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
 * Keeps the aggregator's own answers to {@code Expect} (RFC 9110 section 10.1.1) out of the answers
 * to earlier requests of the same connection. It writes them as soon as it has read a head, when an
 * earlier request may still wait for its answer or have half of it. A 100 waits for its turn; a
 * refusal is left to the connection, which ends behind the answers that it owes.
 */
final class ExpectationGate extends ChannelOutboundHandlerAdapter {
  /** What the gate needs of the connection. */
  interface Connection {
    /** Whether a request that came before is not answered in full, or nothing more is. */
    boolean owesAnswers();

    /** The request whose head came last is refused before its body is read. */
    void refuseUnread(HttpResponseStatus status);
  }

  private final Connection connection;
  private ChannelHandlerContext context;
  private boolean continueOwed;

  ExpectationGate(Connection connection) {
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
    if (accepted && !connection.owesAnswers()) {
      from.write(message, promise);
      return;
    }
    ReferenceCountUtil.release(message);
    if (accepted) {
      continueOwed = true;
    } else {
      connection.refuseUnread(interim.status());
    }
    // The promise stays open: with it the aggregator would close the connection at once.
  }

  /** All earlier requests are answered: the client may send the body that it holds back. */
  void allAnswered() {
    if (continueOwed) {
      continueOwed = false;
      context.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  /** The body came without being asked for. */
  void bodyCame() {
    continueOwed = false;
  }
}
