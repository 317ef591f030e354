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
 * The data plane of a door: takes requests from clients and passes them to backends, as the {@link
 * ControlView} says. All of it runs on one event loop; every method is to be called there unless it
 * says otherwise.
 */
public final class Router {
  private static final long TICK_MS = 250;
  private static final int BACKLOG = 1_024;

  /**
   * For how long a draining door waits for requests on connections that stand idle before it closes
   * them.
   */
  private static final long DRAIN_IDLE_MS = 2_500;

  private static final long DRAIN_CHECK_MS = 100;

  /** Before the process is killed: what is still open then is left to its fate. */
  private static final long DRAIN_MARGIN_MS = 300;

  private final EventLoop loop;
  private final ControlView control;
  private final RequestDispatcher dispatcher;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();
  private final int maxClients;
  private final Owner owner = new Owner();
  private Channel listener;
  private boolean draining;

  /** Draining only: from when on idle connections are closed, and when the rest is cut, ns. */
  private long idleClosedFrom;

  private long drainEnd;

  /**
   * @param loop on which everything runs
   * @param control what the control plane has told
   */
  public Router(EventLoop loop, RouterSettings settings, ControlView control) {
    this.loop = loop;
    this.control = control;
    maxClients = settings.maxConnections() / 2;
    UpstreamPool pool =
        new UpstreamPool(loop, settings.connectTimeoutMs(), settings.maxConnections() / 2);
    dispatcher = new RequestDispatcher(loop, settings, control, pool);
  }

  /** Listens for clients; the future is done when it does. May be called from any thread. */
  public ChannelFuture listen(String host, int port) {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel client) {
                    ClientConnection.add(client.pipeline(), owner, limits());
                  }
                })
            .bind(host, port);
    bound.addListener(done -> listener = done.isSuccess() ? bound.channel() : null);
    loop.scheduleWithFixedDelay(
        () -> tick(System.nanoTime()), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    return bound;
  }

  /**
   * Answers {@code GET /nettletrail/ready} on another address: 200 if {@link #ready}. May be called
   * from any thread.
   */
  public ChannelFuture listenForProbes(String host, int port) {
    return ReadyServer.listen(loop, host, port, this::ready);
  }

  /** Whether clients should be sent here. */
  public boolean ready() {
    RoutingTable routing = control.routing();
    long now = System.nanoTime();
    if (listener == null || draining || routing == null || !control.routingIsCurrent(now)) {
      return false;
    }
    return !routing.keysRequired() || control.keysConfirmed(now);
  }

  /**
   * Ends the router without losing a request that was read: it calls itself unready, goes on to
   * accept and serve, tells clients to close, and after some seconds closes what is idle and takes
   * only requests whose deadline comes before the end.
   *
   * @param graceMs until the process is killed
   * @param done run once no connection is left, or shortly before the grace ends
   */
  public void drain(long graceMs, Runnable done) {
    if (draining) {
      return;
    }
    draining = true;
    long begun = System.nanoTime();
    idleClosedFrom = begun + TimeUnit.MILLISECONDS.toNanos(Math.min(DRAIN_IDLE_MS, graceMs / 2));
    drainEnd = begun + TimeUnit.MILLISECONDS.toNanos(Math.max(0, graceMs - DRAIN_MARGIN_MS));
    dispatcher.drain(idleClosedFrom, drainEnd);
    checkDrain(done);
  }

  private void checkDrain(Runnable done) {
    long now = System.nanoTime();
    boolean idleCloses = now - idleClosedFrom >= 0;
    if (idleCloses) {
      new ArrayList<>(connections).forEach(ClientConnection::closeIfIdle);
    }
    if (now - drainEnd >= 0 || idleCloses && connections.isEmpty()) {
      stopListening();
      done.run();
      return;
    }
    loop.schedule(() -> checkDrain(done), DRAIN_CHECK_MS, TimeUnit.MILLISECONDS);
  }

  /** In the turn that finds no connection: none can be accepted between that and the end. */
  private void stopListening() {
    if (listener != null) {
      listener.close();
      listener = null;
    }
  }

  /** Ends what has stood too long. Called by the router itself; harmless if called more often. */
  public void tick(long now) {
    dispatcher.tick(now);
    Limits limits = limits();
    for (ClientConnection connection : new ArrayList<>(connections)) {
      connection.sweep(now, limits);
    }
  }

  /** The routing in force is another one. */
  public void routingChanged() {
    dispatcher.routingChanged();
  }

  /** The ready backends of a service are others. */
  public void backendsChanged(String service) {
    dispatcher.backendsChanged(service);
  }

  /** More tokens may be spent for these tenants. */
  public void quotaGranted(Collection<String> tenants) {
    dispatcher.quotaGranted(tenants);
  }

  /** Makes room for a connection: the oldest that is idle goes. */
  private void closeOneIdle() {
    for (ClientConnection connection : new ArrayList<>(connections)) {
      if (connection.closeIfIdle()) {
        return;
      }
    }
  }

  private Limits limits() {
    RoutingTable routing = control.routing();
    return routing == null ? Limits.DEFAULT : routing.limits();
  }

  /** What its connections need of it. */
  private final class Owner implements ClientConnection.Owner {
    @Override
    public Exchange arrived(ClientConnection connection, ClientRequest request) {
      return dispatcher.exchange(connection, request);
    }

    @Override
    public void start(Exchange exchange) {
      dispatcher.start(exchange);
    }

    @Override
    public boolean isDraining() {
      return draining;
    }

    @Override
    public OptionalLong deadline(HttpRequest head, long since) {
      RoutingTable routing = control.routing();
      String host = head.headers().get(HttpHeaderNames.HOST, "");
      Route route = routing == null ? null : routing.match(host, ClientRequest.pathOf(head.uri()));
      return route == null
          ? OptionalLong.empty()
          : OptionalLong.of(RequestDeadline.of(route, head.headers(), since));
    }

    @Override
    public void opened(ClientConnection connection) {
      connections.add(connection);
      if (connections.size() > maxClients) {
        closeOneIdle();
      }
    }

    @Override
    public void closed(ClientConnection connection) {
      connections.remove(connection);
    }
  }
}
