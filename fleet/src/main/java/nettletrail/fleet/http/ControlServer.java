package nettletrail.fleet.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import nettletrail.protocol.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP/1.1 server of the core's control interface.
 *
 * <p>It parses requests and passes them to a {@link ControlRequestHandler}, which answers each with
 * {@link #answer} or {@link #redirect}, at once or later. Requests of one connection may be
 * pipelined; their responses keep the order. A call whose client has disconnected is cancelled, and
 * an answer to it is dropped.
 *
 * <p>Everything runs on one event loop. {@link #listen} and {@link #close} may be called on any
 * thread, all other methods on the event loop only; those throw {@link IllegalStateException} on
 * another thread.
 */
public final class ControlServer {
  private static final Logger LOG = LoggerFactory.getLogger(ControlServer.class);
  private static final int LISTEN_BACKLOG = 1024;
  private static final int MAX_REQUEST_LINE_BYTES = 4096;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;
  private static final int TIMEOUT_CHECK_INTERVAL_MS = 500;

  private final LongSupplier steadyClock;
  private final EventLoop loop;
  private final ControlSettings settings;
  private final ControlDispatcher dispatcher;
  private final Map<Channel, RequestTimeoutHandler> connections = new LinkedHashMap<>();
  private final ScheduledFuture<?> timeoutChecks;
  private Channel serverChannel;

  /**
   * Creates a server that doesn't listen yet.
   *
   * @param loop runs everything, including the calls
   * @param calls receives the requests
   */
  public ControlServer(EventLoop loop, ControlSettings settings, ControlRequestHandler calls) {
    this(loop, settings, calls, System::nanoTime);
  }

  /** As above, with another clock for the validity of answers, in nanoseconds. */
  ControlServer(
      EventLoop loop,
      ControlSettings settings,
      ControlRequestHandler calls,
      LongSupplier steadyClock) {
    this.steadyClock = steadyClock;
    this.loop = loop;
    this.settings = settings;
    this.dispatcher = new ControlDispatcher(calls);
    this.timeoutChecks =
        loop.scheduleWithFixedDelay(
            this::closeExpiredConnections,
            TIMEOUT_CHECK_INTERVAL_MS,
            TIMEOUT_CHECK_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
  }

  /**
   * Starts to accept connections.
   *
   * @param address the local address; port 0 selects a free port
   * @return completes when the address is bound; its channel has the local address
   */
  public ChannelFuture listen(InetSocketAddress address) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ConnectionInitializer());
    ChannelFuture bound = bootstrap.bind(address);
    loop.execute(() -> serverChannel = bound.channel());
    return bound;
  }

  /** Sets the result of {@code GET /nettletrail/ready}: 200 if ready, else 503, as initially. */
  public void setReady(boolean ready) {
    requireEventLoop();
    dispatcher.setReady(ready);
  }

  /**
   * Answers a call. Does nothing if the call was answered before or its client has disconnected.
   *
   * @param call the number that the {@link ControlRequestHandler} was given
   * @param status HTTP status
   * @param json the body; null or empty for an empty object
   */
  public void answer(long call, int status, byte[] json) {
    respond(call, JsonResponse.of(status, json));
  }

  /**
   * As {@link #answer(long, int, byte[])}, but with an expiry.
   *
   * @param validUntil instant of the steady clock, in nanoseconds; if it has been reached when the
   *     response can be written, 503 is written instead
   */
  public void answer(long call, int status, byte[] json, long validUntil) {
    respond(call, JsonResponse.of(status, json, validUntil));
  }

  private void respond(long call, JsonResponse response) {
    requireEventLoop();
    dispatcher.respond(call, response);
  }

  /**
   * Answers a call with 307.
   *
   * @param target where the client is to send the same request, as {@code http://...}
   */
  public void redirect(long call, String target) {
    respond(call, JsonResponse.redirect(target));
  }

  /** The number of calls that are not answered yet and whose clients are still connected. */
  int pendingCalls() {
    requireEventLoop();
    return dispatcher.pendingCalls();
  }

  /** Stops listening and closes all connections, asynchronously on the event loop. */
  public void close() {
    loop.execute(
        () -> {
          timeoutChecks.cancel(false);
          if (serverChannel != null) {
            serverChannel.close();
          }
          List.copyOf(connections.keySet()).forEach(Channel::close);
        });
  }

  private void closeExpiredConnections() {
    long now = System.nanoTime();
    List.copyOf(connections.values()).forEach(timeouts -> timeouts.closeIfExpired(now));
  }

  private void requireEventLoop() {
    if (!loop.inEventLoop()) {
      throw new IllegalStateException("the control server is used on its event loop only");
    }
  }

  /** Sets up the pipeline of each connection, or closes it if there are too many. */
  private final class ConnectionInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      if (connections.size() >= settings.maxConnections()) {
        LOG.warn(
            "{} connection of {} refused: {} are open",
            LogEvent.CALLER_REFUSED,
            channel.remoteAddress(),
            connections.size());
        channel.close();
        return;
      }
      RequestTimeoutHandler timeouts = new RequestTimeoutHandler(settings);
      connections.put(channel, timeouts);
      channel.closeFuture().addListener(closed -> connections.remove(channel));
      PipeliningHandler pipelining =
          new PipeliningHandler(dispatcher, settings, timeouts, steadyClock);
      channel
          .pipeline()
          .addLast(timeouts)
          .addLast(
              new HttpServerCodec(
                  MAX_REQUEST_LINE_BYTES, settings.maxHeaderBytes(), MAX_CHUNK_BYTES))
          .addLast(
              new PipelinedRequestAggregator(
                  settings.maxBodyBytes(), pipelining::hasPendingRequests))
          .addLast(new FlowControlHandler())
          .addLast(pipelining);
    }
  }
}
