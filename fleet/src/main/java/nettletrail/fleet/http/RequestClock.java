package nettletrail.fleet.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Notes when a connection's current request began, so that callers who dawdle or rest too long can
 * be found. Stands before the HTTP decoder.
 */
final class RequestClock extends ChannelInboundHandlerAdapter {
  private static final long NANOS_A_MILLISECOND = 1_000_000;

  private final ControlSettings settings;
  private ChannelHandlerContext context;
  private boolean requestBegun;
  private int callsWaiting;
  private long since = System.nanoTime();

  RequestClock(ControlSettings settings) {
    this.settings = settings;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void channelRead(ChannelHandlerContext reading, Object message) {
    if (!requestBegun) {
      requestBegun = true;
      since = System.nanoTime();
    }
    reading.fireChannelRead(message);
  }

  /** A request was read whole. */
  void requestEnded(long now) {
    requestBegun = false;
    since = now;
  }

  /** How many calls wait for their answer; the connection doesn't rest while there are any. */
  void callsWaiting(int count) {
    callsWaiting = count;
    if (count == 0) {
      since = System.nanoTime();
    }
  }

  /** Closes the connection if its request takes too long, or if it rests for too long. */
  void check(long now) {
    boolean rests = callsWaiting == 0;
    long allowed = requestBegun ? settings.requestTimeoutMillis() : settings.idleTimeoutMillis();
    if (rests && now - since > allowed * NANOS_A_MILLISECOND) {
      context.close();
    }
  }
}
