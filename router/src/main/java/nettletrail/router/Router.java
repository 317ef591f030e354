package nettletrail.router;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import nettletrail.configuration.Limits;
import nettletrail.configuration.Route;
import nettletrail.configuration.RoutingTable;
import nettletrail.router.upstream.UpstreamPool;

/**
 * The data plane of a door: accepts requests from clients and forwards them to backends, by the
 * state in {@link ControlView}. All of it runs on one event loop; every method is to be called
 * there unless it says otherwise.
 */
public final class Router {
  private static final long TICK_MS = 250;
  private static final int BACKLOG = 1_024;

  private static final long DRAIN_CHECK_MS = 100;

  private final EventLoop loop;
  private final ControlView control;
  private final RequestDispatcher dispatcher;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();
  private final int maxClients;
  private final BufferMemory memory;
  private final ClientConnectionOwner owner = new ConnectionOwner();
  private Channel listener;

  /** Null unless the process shuts down. */
  private DrainWindow drainWindow;

  /**
   * @param loop on which everything runs
   * @param control the control plane's state at this door
   */
  public Router(EventLoop loop, RouterSettings settings, ControlView control) {
    this.loop = loop;
    this.control = control;
    maxClients = settings.maxConnections() / 2;
    UpstreamPool pool =
        new UpstreamPool(loop, settings.connectTimeoutMs(), settings.maxConnections() / 2);
    memory = new BufferMemory(settings.maxBufferedBytes());
    dispatcher = new RequestDispatcher(loop, settings, control, pool, memory);
  }

  /**
   * Opens the listening socket for clients. May be called from any thread.
   *
   * @return completes once it is bound
   */
  public ChannelFuture listen(String host, int port) {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOCATOR, memory.allocator())
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel client) {
                    ClientConnection.addTo(client.pipeline(), owner, Router.this::limits, memory);
                  }
                })
            .bind(host, port);
    bound.addListener(done -> listener = done.isSuccess() ? bound.channel() : null);
    loop.scheduleWithFixedDelay(
        () -> tick(System.nanoTime()), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    return bound;
  }

  /**
   * Serves the readiness check, {@code GET /nettletrail/isReady}, on another address: 200 if {@link
   * #isReady}, else 503. May be called from any thread.
   *
   * @return completes once the address is bound
   */
  public ChannelFuture listenForProbes(String host, int port) {
    return ReadinessServer.listen(loop, host, port, this::isReady);
  }

  /** Whether this door accepts new clients: the result of its readiness check. */
  public boolean isReady() {
    RoutingTable routing = control.routing();
    long now = System.nanoTime();
    if (listener == null || isDraining() || routing == null || !control.isRoutingCurrent(now)) {
      return false;
    }
    return !routing.keysRequired() || control.keysConfirmed(now);
  }

  /**
   * Shuts down gracefully, without losing a request that was read: the readiness check fails,
   * responses carry {@code Connection: close}, and after some seconds idle connections are closed
   * and requests whose deadline is after the end are rejected. Without effect if called again.
   *
   * @param graceMs until the process is killed
   * @param done run once no connection is left, or shortly before the grace period ends
   */
  public void drain(long graceMs, Runnable done) {
    if (isDraining()) {
      return;
    }
    drainWindow = DrainWindow.of(System.nanoTime(), graceMs);
    dispatcher.drain(drainWindow);
    checkDrain(done);
  }

  private boolean isDraining() {
    return drainWindow != null;
  }

  private void checkDrain(Runnable done) {
    long now = System.nanoTime();
    boolean closesIdle = drainWindow.closesIdle(now);
    if (closesIdle) {
      new ArrayList<>(connections).forEach(connection -> connection.timeouts().closeIfIdle());
    }
    if (drainWindow.hasEnded(now) || closesIdle && connections.isEmpty()) {
      stopListening();
      done.run();
      return;
    }
    loop.schedule(() -> checkDrain(done), DRAIN_CHECK_MS, TimeUnit.MILLISECONDS);
  }

  /** In the turn that finds no connection, so that none can be accepted after it. */
  private void stopListening() {
    if (listener != null) {
      listener.close();
      listener = null;
    }
  }

  /** Applies time limits. Called periodically by the router itself; more calls are harmless. */
  public void tick(long now) {
    dispatcher.tick(now);
    Limits limits = limits();
    for (ClientConnection connection : new ArrayList<>(connections)) {
      connection.timeouts().check(now, limits);
    }
  }

  /** The active routing table has changed. */
  public void routingChanged() {
    dispatcher.routingChanged();
  }

  /** The ready backends of a service have changed. */
  public void backendsChanged(String service) {
    dispatcher.backendsChanged(service);
  }

  /** New quota was granted for these tenants. */
  public void quotaGranted(Collection<String> tenants) {
    dispatcher.quotaGranted(tenants);
  }

  /** Closes the oldest idle connection in favour of a new one. */
  private void closeOldestIdle() {
    for (ClientConnection connection : new ArrayList<>(connections)) {
      if (connection.timeouts().closeIfIdle()) {
        return;
      }
    }
  }

  /** The memory that it holds for its clients. */
  BufferMemory memory() {
    return memory;
  }

  private Limits limits() {
    RoutingTable routing = control.routing();
    return routing == null ? Limits.DEFAULT : routing.limits();
  }

  /** The router, as its connections see it. */
  private final class ConnectionOwner implements ClientConnectionOwner {
    @Override
    public Exchange createExchange(ClientConnection connection, ClientRequest request) {
      return dispatcher.createExchange(connection, request);
    }

    @Override
    public void start(Exchange exchange) {
      dispatcher.start(exchange);
    }

    @Override
    public Rejection withoutMemory() {
      return dispatcher.withoutMemory();
    }

    @Override
    public boolean isDraining() {
      return Router.this.isDraining();
    }

    @Override
    public OptionalLong deadline(HttpRequest head, long arrivedAt) {
      RoutingTable routing = control.routing();
      String host = head.headers().get(HttpHeaderNames.HOST, "");
      Route route = routing == null ? null : routing.match(host, ClientRequest.pathOf(head.uri()));
      return route == null
          ? OptionalLong.empty()
          : OptionalLong.of(RequestDeadline.of(route, head.headers(), arrivedAt));
    }

    @Override
    public void opened(ClientConnection connection) {
      connections.add(connection);
      if (connections.size() > maxClients) {
        closeOldestIdle();
      }
    }

    @Override
    public void closed(ClientConnection connection) {
      connections.remove(connection);
    }
  }
}
