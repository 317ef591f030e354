package nettletrail.fleet.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Closes a connection whose client takes too long to send a request, or that is idle for too long.
 * The time-outs are checked by the server, which calls {@link #closeIfExpired} periodically. Placed
 * before the HTTP decoder; event loop only.
 */
final class RequestTimeoutHandler extends ChannelInboundHandlerAdapter {
  private static final long NANOS_PER_MILLISECOND = 1_000_000;

  private final ControlSettings settings;
  private ChannelHandlerContext context;
  private boolean requestStarted;
  private int pendingRequests;

  /** When the current request started or, between requests, when the connection became idle. */
  private long since = System.nanoTime();

  RequestTimeoutHandler(ControlSettings settings) {
    this.settings = settings;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void channelRead(ChannelHandlerContext reading, Object message) {
    if (!requestStarted) {
      requestStarted = true;
      since = System.nanoTime();
    }
    reading.fireChannelRead(message);
  }

  /**
   * Called when a request has been read completely.
   *
   * @param now steady clock, nanoseconds
   */
  void requestCompleted(long now) {
    requestStarted = false;
    since = now;
  }

  /**
   * Called when the number of requests without a response changes; none expires while it is > 0.
   */
  void pendingRequestsChanged(int count) {
    pendingRequests = count;
    if (count == 0) {
      since = System.nanoTime();
    }
  }

  /**
   * Closes the connection if its request or its idle time has lasted too long.
   *
   * @param now steady clock, nanoseconds
   */
  void closeIfExpired(long now) {
    boolean waitsForClient = pendingRequests == 0;
    long timeoutMs =
        requestStarted ? settings.requestTimeoutMillis() : settings.idleTimeoutMillis();
    if (waitsForClient && now - since > timeoutMs * NANOS_PER_MILLISECOND) {
      context.close();
    }
  }
}
