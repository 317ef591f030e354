package nettletrail.fleet.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import nettletrail.protocol.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Dispatches the requests of one connection as they arrive and writes the responses in the same
 * order.
 *
 * <p>A response may have to wait for those to earlier requests, so its validity is checked when it
 * is written. Reading pauses while the connection has as many pending requests as are allowed. Each
 * request is released when it has been dispatched. Event loop only.
 */
final class PipeliningHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final Logger LOG = LoggerFactory.getLogger(PipeliningHandler.class);

  /** Receives the requests of all connections. */
  interface RequestListener {
    /** A well-formed request has arrived; the response goes to {@link Exchange#respond}. */
    void requestReceived(Exchange exchange, ParsedRequest request);

    /** The client has disconnected; the exchange needs no response. */
    void exchangeCancelled(Exchange exchange);
  }

  private final RequestListener listener;
  private final ControlSettings settings;
  private final Deque<Exchange> pending = new ArrayDeque<>();
  private final RequestTimeoutHandler timeouts;
  private final LongSupplier steadyClock;
  private Channel channel;

  /** Whether the connection closes after the response to the last request that was accepted. */
  private boolean closing;

  PipeliningHandler(
      RequestListener listener,
      ControlSettings settings,
      RequestTimeoutHandler timeouts,
      LongSupplier steadyClock) {
    this.listener = listener;
    this.settings = settings;
    this.timeouts = timeouts;
    this.steadyClock = steadyClock;
  }

  /** One request of this connection and, once it is known, its response. */
  final class Exchange {
    private final boolean keepAlive;
    private JsonResponse response;

    private Exchange(boolean keepAlive) {
      this.keepAlive = keepAlive;
    }

    /** Sets the response, unless there is one already, and writes what can be written. */
    void respond(JsonResponse first) {
      if (response == null) {
        response = first;
        writeResponses();
      }
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (closing) {
      return; // The connection closes before its response could be written.
    }
    timeouts.requestCompleted(System.nanoTime());
    boolean decoded = request.decoderResult().isSuccess();
    Exchange exchange = new Exchange(decoded && HttpUtil.isKeepAlive(request));
    closing = !exchange.keepAlive;
    pending.addLast(exchange);
    pendingRequestsChanged();
    if (decoded) {
      dispatch(exchange, request);
    } else {
      rejectUndecoded(exchange, request.decoderResult().cause());
    }
  }

  /** Whether an earlier request has no response yet. */
  boolean hasPendingRequests() {
    return !pending.isEmpty();
  }

  private void pendingRequestsChanged() {
    timeouts.pendingRequestsChanged(pending.size());
    channel.config().setAutoRead(pending.size() < settings.maxPipelined());
  }

  private static void rejectUndecoded(Exchange exchange, Throwable cause) {
    HttpResponseStatus status =
        cause instanceof TooLongHttpContentException
            ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST;
    exchange.respond(JsonResponse.error(status, cause.toString()));
  }

  private void dispatch(Exchange exchange, FullHttpRequest request) {
    try {
      listener.requestReceived(exchange, ControlRequestParser.parse(request));
    } catch (BadRequestException malformed) {
      exchange.respond(JsonResponse.error(HttpResponseStatus.BAD_REQUEST, malformed.getMessage()));
    }
  }

  private void writeResponses() {
    while (!pending.isEmpty() && pending.peekFirst().response != null) {
      write(pending.removeFirst());
    }
    pendingRequestsChanged();
    channel.flush();
  }

  private void write(Exchange exchange) {
    JsonResponse current = exchange.response.asOf(steadyClock.getAsLong());
    FullHttpResponse response = current.toHttpResponse();
    HttpUtil.setKeepAlive(response, exchange.keepAlive);
    ChannelFuture written = channel.write(response);
    if (!exchange.keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pending.forEach(listener::exchangeCancelled);
    pending.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.info(
        "{} connection of {} closed: {}",
        LogEvent.CALLER_LOST,
        channel.remoteAddress(),
        cause.toString());
    channel.close();
  }
}
