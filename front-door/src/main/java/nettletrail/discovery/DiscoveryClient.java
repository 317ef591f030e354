package nettletrail.discovery;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import nettletrail.core.Endpoint;
import nettletrail.core.Log;
import nettletrail.core.PendingInput;
import nettletrail.decision.Gateway;

/**
 * Keeps the list of backends up to date from the discovery agent, with one request at a time that
 * asks for changes since the last response. Each request has a timeout, because an agent that has
 * lost discovery does not respond, and after a failure the next request follows quickly. A watch
 * that is presumed silent gets a second request beside it. All times are defined in {@link
 * DiscoveryTiming}. Used on one event loop only.
 */
public final class DiscoveryClient {
  private static final int MAX_RESPONSE_BYTES = 4 << 20;
  private static final int MIN_WAIT_MS = 1;

  private final EventLoop loop;
  private InetSocketAddress agent;
  private final Endpoint.Listener listener;
  private final Bootstrap bootstrap;
  private Channel channel;

  /** The connection of a watch that is presumed silent, until its timeout; or null. */
  private Channel overdueChannel;

  private Future<?> responseTimeout;
  private Future<?> overdueTimeout;

  /** When the last request was sent, {@link System#nanoTime}. */
  private long requestSentAt;

  /** A request on the connection awaits its response. */
  private boolean requestOpen;

  private Future<?> scheduledRetry;
  private long index;
  private final SplittableRandom random;
  private int consecutiveFailures;

  /** Since the last response the connection was lost or a request timed out. */
  private boolean failedSinceResponse;

  /** A response is being processed, so that its decoder is on the call stack. */
  private boolean processingResponse;

  /**
   * @param index the version of the list that is already known, or negative for none
   * @param seed of the backoff jitter; different for each front door
   * @param listener receives the lists and failures, on the event loop
   */
  public DiscoveryClient(
      EventLoop loop, InetSocketAddress agent, long index, long seed, Endpoint.Listener listener) {
    this.loop = loop;
    this.index = index;
    random = new SplittableRandom(seed);
    this.agent = agent;
    this.listener = listener;
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DiscoveryTiming.CONNECT_TIMEOUT_MS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel made) {
                    made.pipeline()
                        .addLast(
                            new HttpClientCodec(),
                            new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                            new DiscoveryResponseHandler());
                  }
                });
  }

  /**
   * Switches to another agent: closes the connection to the old one and requests the whole list,
   * because the versions of one agent mean nothing to another. The current list stays in force
   * until then.
   */
  public void switchAgent(InetSocketAddress to) {
    Log.line("discovery: switching from agent " + agent + " to " + to);
    agent = to;
    index = -1;
    consecutiveFailures = 0;
    cancelAndClose();
    closeOverdue();
    poll();
  }

  /**
   * Sends the next request, connecting first if needed; afterwards each response leads to the next
   * request.
   */
  public void poll() {
    if (channel != null) {
      sendRequest();
      return;
    }
    ChannelFuture connecting = bootstrap.connect(agent);
    channel = connecting.channel();
    connecting.addListener(
        done -> {
          if (connecting.channel() != channel) {
            return;
          }
          if (done.isSuccess()) {
            sendRequest();
          } else {
            requestFailed("connection failed: " + done.cause().getMessage());
          }
        });
  }

  private void sendRequest() {
    // The first request after a failure does not wait for changes, so that one without a response
    // is distinguished
    // from one without news and abandoned much sooner.
    int wait = index < 0 ? 0 : failedSinceResponse ? MIN_WAIT_MS : DiscoveryTiming.WATCH_WAIT_MS;
    String path = index < 0 ? "/api/targets" : "/api/targets?index=" + index + "&wait=" + wait;
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
    request.headers().set(HttpHeaderNames.HOST, "discovery");
    channel.writeAndFlush(request);
    requestSentAt = System.nanoTime();
    requestOpen = true;
    if (wait > MIN_WAIT_MS) {
      responseTimeout =
          loop.schedule(
              this::watchTimedOut, wait + DiscoveryTiming.WATCH_GRACE_MS, TimeUnit.MILLISECONDS);
    } else {
      // TCP does not report a peer that is cut off: without this timeout the client would wait for
      // ever.
      int timeoutMs = DiscoveryTiming.RESPONSE_TIMEOUT_MS + wait;
      responseTimeout =
          loop.schedule(() -> responseTimedOut(timeoutMs), timeoutMs, TimeUnit.MILLISECONDS);
    }
  }

  private void responseTimedOut(int timeoutMs) {
    if (!completedMeanwhile()) {
      requestFailed("no response within " + timeoutMs + " ms");
    }
  }

  /**
   * Whether unread input completes the request whose timeout has elapsed: the event loop may be
   * late.
   */
  private boolean completedMeanwhile() {
    Future<?> current = responseTimeout;
    readPending();
    return responseTimeout != current || !requestOpen;
  }

  /**
   * The wait of a watch has elapsed without a response: it is silent, or its response is queued.
   * Its response is still awaited, while another connection requests the current changes.
   */
  private void watchTimedOut() {
    if (completedMeanwhile()) {
      return;
    }
    closeOverdue();
    overdueChannel = channel;
    channel = null;
    requestOpen = false;
    overdueTimeout =
        loop.schedule(
            this::closeOverdue,
            DiscoveryTiming.RESPONSE_TIMEOUT_MS - DiscoveryTiming.WATCH_GRACE_MS,
            TimeUnit.MILLISECONDS);
    failedSinceResponse = true;
    consecutiveFailures = 0; // earlier failures are long past
    poll();
  }

  /**
   * Applies the late response of a watch that was presumed silent; the second request continues
   * independently.
   */
  private void handleOverdueResponse(FullHttpResponse response) {
    if (response.status().code() == 200 && !response.decoderResult().isFailure()) {
      try {
        Map<String, Object> body = parseBody(response);
        long version = versionOf(body);
        if (version >= index && (index >= 0 || isSnapshot(body))) {
          index = version;
          listener.endpointsUpdated(isSnapshot(body), parseEndpoints(body));
        }
      } catch (IOException e) {
        Log.line("discovery: cannot parse a late response: " + e.getClass().getSimpleName());
      }
    }
    closeOverdue();
  }

  private static Map<String, Object> parseBody(FullHttpResponse response) throws IOException {
    return JSON.std.mapFrom((InputStream) new ByteBufInputStream(response.content()));
  }

  private static long versionOf(Map<String, Object> body) {
    return body.get("index") instanceof Number n ? n.longValue() : -1;
  }

  private static boolean isSnapshot(Map<String, Object> body) {
    return Boolean.TRUE.equals(body.get("snapshot"));
  }

  private void handleResponse(FullHttpResponse response) {
    responseTimeout.cancel(false);
    requestOpen = false;
    failedSinceResponse = false;
    if (response.status().code() != 200 || response.decoderResult().isFailure()) {
      // Unless discovery is overloaded it may not know this version any more: request the whole
      // list, which costs
      // it more.
      if (!isOverloaded(response.status().code())) {
        index = -1;
        requestFailed("response status " + response.status());
        return;
      }
      if (!HttpUtil.isKeepAlive(response)) {
        cancelAndClose();
      }
      long queuedMs = (System.nanoTime() - requestSentAt) / 1_000_000;
      scheduleRetry(
          "response status " + response.status(),
          DiscoveryTiming.overloadBackoffMs(consecutiveFailures, queuedMs, random));
      return;
    }
    closeOverdue(); // its response could not be newer than this one
    Map<String, Object> body;
    try {
      body = parseBody(response);
    } catch (IOException e) {
      index = -1;
      requestFailed("cannot parse response: " + e.getClass().getSimpleName());
      return;
    }
    if (consecutiveFailures > 0) {
      consecutiveFailures = 0;
      Log.line("discovery: recovered");
    }
    long previousIndex = index;
    index = versionOf(body);
    if (!HttpUtil.isKeepAlive(response)) {
      cancelAndClose();
    }
    if (!isSnapshot(body) && index < previousIndex) {
      // Changes up to an older version would undo newer ones: only the whole list shows the current
      // state.
      index = -1;
    } else {
      listener.endpointsUpdated(isSnapshot(body), parseEndpoints(body));
    }
    poll();
  }

  private void requestFailed(String reason) {
    failedSinceResponse = true;
    cancelAndClose();
    scheduleRetry(reason, DiscoveryTiming.timeoutBackoffMs(consecutiveFailures, random));
  }

  /**
   * Handles a lost connection. During a backoff it adds no second one, as the two together could
   * exceed the budget.
   */
  private void connectionLost(String reason) {
    if (!requestOpen && scheduledRetry != null && !scheduledRetry.isDone()) {
      closeChannel();
    } else {
      requestFailed(reason);
    }
  }

  /** Schedules the next request after a backoff, on the same connection if it is still open. */
  private void scheduleRetry(String reason, int pauseMs) {
    if (consecutiveFailures == 0) {
      Log.line("discovery: " + reason + "; retrying");
    }
    consecutiveFailures++;
    listener.discoveryFailed();
    scheduledRetry = loop.schedule(this::poll, pauseMs, TimeUnit.MILLISECONDS);
  }

  private static boolean isOverloaded(int status) {
    return status == 503 || status == 429;
  }

  /** Processes responses that have arrived but have not been read by the event loop yet. */
  public void readPending() {
    if (!processingResponse) {
      for (Channel each : new Channel[] {channel, overdueChannel}) {
        if (each != null) {
          PendingInput.readAll(each);
        }
      }
    }
  }

  private void cancelAndClose() {
    if (responseTimeout != null) {
      responseTimeout.cancel(false);
    }
    if (scheduledRetry != null) {
      scheduledRetry.cancel(false);
    }
    closeChannel();
  }

  private void closeChannel() {
    Channel old = channel;
    channel = null;
    requestOpen = false;
    if (old != null) {
      old.close();
    }
  }

  private void closeOverdue() {
    Channel old = overdueChannel;
    overdueChannel = null;
    if (old != null) {
      overdueTimeout.cancel(false);
      old.close();
    }
  }

  /**
   * Parses the endpoints of a response or of the list in the configuration; entries without a name
   * are ignored.
   */
  public static List<Endpoint> parseEndpoints(Map<?, ?> list) {
    List<Endpoint> entries = new ArrayList<>();
    if (list.get("endpoints") instanceof List<?> rows) {
      for (Object row : rows) {
        if (row instanceof Map<?, ?> entry && entry.get("name") instanceof String name) {
          entries.add(parseEndpoint(name, entry));
        } else {
          Log.line("discovery: ignoring an endpoint without a name");
        }
      }
    }
    return entries;
  }

  private static Endpoint parseEndpoint(String name, Map<?, ?> entry) {
    Gateway.DiscoveryState state =
        switch (String.valueOf(entry.get("status"))) {
          case "SERVING" -> Gateway.DiscoveryState.READY;
          case "DELETED" -> Gateway.DiscoveryState.GONE;
          default ->
              Gateway.DiscoveryState.DRAINING; // an unknown status does not permit sending requests
        };
    InetSocketAddress address =
        entry.get("address") instanceof String text ? Endpoint.parseAddress(text) : null;
    if (address == null && state == Gateway.DiscoveryState.READY) {
      Log.line("discovery: endpoint " + name + " has no usable address");
      state = Gateway.DiscoveryState.DRAINING;
    }
    return new Endpoint(
        Endpoint.idOf(name),
        name,
        address,
        String.valueOf(entry.get("zone")),
        String.valueOf(entry.get("type")),
        entry.get("group") instanceof Number n ? n.intValue() : 0,
        state,
        entry.get("weight") instanceof Number n ? n.doubleValue() : 1,
        entry.get("since_ms") instanceof Number n ? n.longValue() : 0);
  }

  private final class DiscoveryResponseHandler
      extends SimpleChannelInboundHandler<FullHttpResponse> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      if (response.status().code() < 200) {
        return;
      }
      processingResponse = true;
      try {
        if (context.channel() == channel && requestOpen) {
          handleResponse(response);
        } else if (context.channel() == overdueChannel) {
          handleOverdueResponse(response);
        }
      } finally {
        processingResponse = false;
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connectionEnded(context, "connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      connectionEnded(context, "error: " + cause.getMessage());
    }

    private void connectionEnded(ChannelHandlerContext context, String reason) {
      if (context.channel() == channel) {
        connectionLost(reason);
      } else if (context.channel() == overdueChannel) {
        closeOverdue();
      }
    }
  }
}
