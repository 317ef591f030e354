package nettletrail.door;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import nettletrail.core.AttemptTransport;
import nettletrail.core.Authorizer;
import nettletrail.core.BackendReport;
import nettletrail.core.Dispatcher;
import nettletrail.core.Endpoint;
import nettletrail.core.EventLoopClock;
import nettletrail.core.FrontDoorExtensions;
import nettletrail.core.Frontend;
import nettletrail.core.Log;
import nettletrail.core.Membership;
import nettletrail.core.PendingInput;
import nettletrail.core.RequestLimiter;
import nettletrail.core.RequestValidator;
import nettletrail.decision.ApertureGateway;
import nettletrail.decision.ApertureSettings;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewayDecider;
import nettletrail.decision.InvalidInputException;
import nettletrail.discovery.DiscoveryClient;
import nettletrail.http.ClientHandler;
import nettletrail.upstream.BackendPool;

/** One front door: creates its parts, starts, reports readiness, evicts connections and drains. */
public final class FrontDoor implements ClientHandler.Owner, Endpoint.Listener {
  /** New connections are accepted for this long after SIGTERM. */
  static final long ACCEPT_AFTER_TERM_MS = 500;

  /** The protocol's longest client deadline; {@link #maxDeadlineMs} may be shorter. */
  static final long MAX_DEADLINE_MS = 3_000;

  /**
   * Reserved at the end of a drain for sending the last responses: requests that are still open
   * then are answered as if their deadline had passed. With the times above, a drain ends 0.05 s
   * before the earliest SIGKILL, which comes 0.7 s and the settings' longest deadline after
   * SIGTERM.
   */
  private static final long FINAL_RESPONSES_MS = 150;

  /**
   * A connection as recent as this may have a request in flight: a drain does not close it as idle.
   */
  static final long RECENT_CONNECTION_NANOS = 100_000_000L;

  /**
   * After this time without discovery, the front door becomes ready with the configuration's list
   * of backends.
   */
  private static final long MAX_DISCOVERY_WAIT_MS = 1_000;

  private static final long SWEEP_MS = 200;

  /**
   * A connection without an open request is closed after this time; with the sweep's period, well
   * within 3 s.
   */
  private static final long MAX_IDLE_NANOS = 2_000_000_000L;

  /**
   * Once clients use a quarter of the descriptors, a connection idle for this long is evicted for a
   * new one. Clients may use a third of the descriptors for requests, and many send one request and
   * keep the connection: with all of these idle for 2 s, the next client could not connect at all.
   * This also protects against many silent connections long before the maximum. Drawback: a larger
   * pool of clients has to reopen some connections.
   */
  private static final long MIN_EVICTION_IDLE_NANOS = 300_000_000L;

  /**
   * Descriptors reserved for other uses than clients and backends: files of the JVM, the selector,
   * discovery.
   */
  private static final int RESERVED_SOCKETS = 48;

  /** Smallest receive buffer of a client connection. */
  private static final int MIN_READ_BYTES = 2 << 10;

  private static final int MAX_READ_BYTES = 64 << 10;

  /** Reads of one connection per turn of the loop; Netty's default. */
  private static final int MAX_READS_PER_TURN = 16;

  /** Length of the kernel's accept queue. */
  private static final int LISTEN_BACKLOG = 1024;

  private final EventLoopClock clock = new EventLoopClock();
  private final NioEventLoopGroup group =
      new NioEventLoopGroup(1, (Executor) null, SelectorProvider.provider(), () -> clock);
  private final EventLoop loop = group.next();
  private final FrontDoorConfig config;
  private final Gateway.Settings settings;
  private final BackendPool pool;
  private final Dispatcher dispatcher;
  private final DiscoveryClient discovery;
  private final RequestLimiter limiter;
  private final Authorizer authorizer;
  private final Membership membership;
  private final int maxClients;
  private final int evictionThreshold;
  private final List<Frontend> frontends = new ArrayList<>();
  private final Set<ClientHandler> clients = new LinkedHashSet<>();
  private final CountDownLatch drained = new CountDownLatch(1);

  /** The listening socket; null until clients can connect. */
  private volatile Channel serverChannel;

  /** Number of client connections accepted so far. */
  private long acceptedCount;

  /** Accepted connections at which listening ends; 0 until it starts to end. */
  private long acceptLimit;

  private boolean discoveryReady;
  private volatile boolean draining;

  /** Creates this project's decision module. */
  public static final Dispatcher.GatewayFactory GATEWAY_FACTORY = GatewayDecider::new;

  /**
   * A class, not a lambda: a lambda that is missing from the class archive makes each start slower.
   */
  private static final class ApertureGatewayFactory implements Dispatcher.GatewayFactory {
    private final Dispatcher.GatewayFactory factory;
    private final int index;
    private final ApertureSettings aperture;

    ApertureGatewayFactory(
        Dispatcher.GatewayFactory factory, int index, ApertureSettings aperture) {
      this.factory = factory;
      this.index = index;
      this.aperture = aperture;
    }

    @Override
    public Gateway create(Gateway.Settings settings, long now, Gateway.Actions actions) {
      return ApertureGateway.wrap(
          factory.create(settings, now, actions), settings, index, aperture);
    }
  }

  private FrontDoor(
      FrontDoorConfig config, Dispatcher.GatewayFactory factory, FrontDoorExtensions extensions) {
    this.config = config;
    settings = config.settings().settings(config.seed());
    int availableSockets = config.maxSockets() - RESERVED_SOCKETS;
    maxClients = availableSockets / 2;
    evictionThreshold = config.maxSockets() / 4;
    pool =
        new BackendPool(
            loop,
            new BackendReport.Reader(config.settings()),
            config.settings().durationNanos("Ceilings.ConnectTimeout"),
            config.settings().durationNanos("Ceilings.ConnIdle"),
            availableSockets - maxClients);
    List<AttemptTransport> transports = new ArrayList<>(List.of(pool));
    for (Frontend.Factory each : extensions.frontends()) {
      Frontend front = each.create(group, config.settings(), settings);
      frontends.add(front);
      transports.add(front.attemptTransport());
    }
    membership = extensions.membership().create(config.name(), loop, config.settings(), settings);
    limiter = extensions.limiter().create(config.name(), loop, config.settings(), settings);
    limiter.setMembership(membership);
    authorizer =
        extensions.authorizer().create(config.name(), loop, clock, config.settings(), settings);
    int index = config.settings().gatewayIndex();
    ApertureSettings aperture = config.settings().aperture(extensions.aperture());
    dispatcher =
        new Dispatcher(
            loop,
            clock,
            authorizer,
            limiter,
            transports,
            config.settings(),
            settings,
            new ApertureGatewayFactory(factory, index, aperture));
    discovery =
        new DiscoveryClient(
            loop, config.discovery(), knownVersion(config.knownEndpoints()), config.seed(), this);
    dispatcher.setDiscoveryPoll(discovery::readPending);
  }

  /**
   * Version of the configuration's list of backends; negative if it has none, so that discovery is
   * asked for a whole list.
   */
  private static long knownVersion(Map<?, ?> known) {
    boolean whole = known.get("endpoints") instanceof List<?> entries && !entries.isEmpty();
    return whole && known.get("index") instanceof Number n ? n.longValue() : -1;
  }

  /** Serves until SIGTERM. Exits with status 2 and one line on standard error if it can't start. */
  public static void serve(Map<String, String> env, FrontDoorExtensions extensions)
      throws InterruptedException {
    Log.install();
    FrontDoor door;
    try {
      door = prepare(FrontDoorConfig.read(env), GATEWAY_FACTORY, extensions);
    } catch (FrontDoorConfig.InvalidConfigException
        | InvalidInputException
        | IllegalArgumentException e) {
      System.err.println("nettletrail: " + e.getMessage());
      System.exit(2);
      return;
    }
    FrontDoor prepared = door;
    onHangup(() -> prepared.reload(env));
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  prepared.drain();
                  // Returning from the hook would exit with the signal's status.
                  Runtime.getRuntime().halt(0);
                },
                "drain"));
    try {
      prepared.warmUp().await();
      prepared.open();
    } catch (IllegalArgumentException e) {
      System.err.println("nettletrail: " + e.getMessage());
      Runtime.getRuntime().halt(2); // System.exit would run the hook, which sets the status to 0
    }
  }

  /**
   * Handles SIGHUP, which otherwise ends the JVM with all its requests; the standard library has no
   * other way to receive it.
   */
  static void onHangup(Runnable reload) {
    sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> reload.run());
  }

  /**
   * Applies the discovery address of the replaced configuration; an unusable configuration changes
   * nothing.
   */
  void reload(Map<String, String> env) {
    try {
      InetSocketAddress agent = FrontDoorConfig.currentDiscoveryAddress(env);
      loop.execute(() -> discovery.switchAgent(agent));
    } catch (FrontDoorConfig.InvalidConfigException e) {
      Log.line("SIGHUP: " + e.getMessage() + "; keeping the current configuration");
    }
  }

  /**
   * Starts a front door in this process; it becomes ready once discovery has answered or after 1 s.
   *
   * @throws IllegalArgumentException if it can't start; the message is one line with the reason
   */
  public static FrontDoor start(
      FrontDoorConfig config, Dispatcher.GatewayFactory factory, Frontend.Factory... extensions)
      throws InterruptedException {
    return start(
        config,
        factory,
        new FrontDoorExtensions(List.of(extensions), FrontDoorExtensions.NONE.limiter()));
  }

  /** The same with all extensions of an operator file. */
  public static FrontDoor start(
      FrontDoorConfig config, Dispatcher.GatewayFactory factory, FrontDoorExtensions extensions)
      throws InterruptedException {
    FrontDoor door = prepare(config, factory, extensions);
    door.open();
    return door;
  }

  /** The same, but without listening yet: see {@link #open}. */
  static FrontDoor prepare(
      FrontDoorConfig config, Dispatcher.GatewayFactory factory, FrontDoorExtensions extensions)
      throws InterruptedException {
    FrontDoor door = new FrontDoor(config, factory, extensions);
    try {
      door.loop
          .submit(
              () -> {
                door.dispatcher.endpointsUpdated(
                    true, DiscoveryClient.parseEndpoints(config.knownEndpoints()));
                return null;
              })
          .get();
      door.loop.execute(door.discovery::poll);
      door.loop.schedule(
          () -> door.discoveryReady = true, MAX_DISCOVERY_WAIT_MS, TimeUnit.MILLISECONDS);
      door.loop.scheduleWithFixedDelay(door::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | IllegalArgumentException e) {
      door.stop();
      throw new IllegalArgumentException(e.getMessage(), e);
    }
    return door;
  }

  /**
   * Starts listening on all frontends. Any thread but the loop.
   *
   * @throws IllegalArgumentException if it can't listen, after stopping; the message is one line
   *     with the reason
   */
  void open() throws InterruptedException {
    try {
      for (Frontend front : frontends) {
        front.open(dispatcher);
      }
      listen();
    } catch (IOException | IllegalArgumentException e) {
      stop();
      throw new IllegalArgumentException(e.getMessage(), e);
    }
  }

  /**
   * Runs the warm-up before clients can connect, as the first requests would otherwise be served by
   * cold code. It keeps the loop busy, for a second and more on a fraction of a core: a front door
   * that listened meanwhile (after a restart clients connect at once) would answer late, and would
   * send by an outdated list because it has not read the newer one.
   *
   * @return counted down when the warm-up has finished
   */
  CountDownLatch warmUp() {
    CountDownLatch over = new CountDownLatch(1);
    loop.execute(
        () ->
            new FrontDoorWarmUp(loop, config.settings(), config.settings().settings(config.seed()))
                .start(over::countDown));
    return over;
  }

  /**
   * Binds on the loop, which also starts the drain: a front door that is drained during its warm-up
   * never listens.
   */
  private void listen() throws InterruptedException {
    ChannelFuture bound = loop.submit(this::bind).sync().getNow();
    if (bound == null) {
      return;
    }
    if (!bound.await().isSuccess()) {
      throw new IllegalArgumentException(
          "EDGE_LISTEN: can't listen on " + config.listen() + ": " + bound.cause().getMessage());
    }
    Log.line(config.name() + " listens on " + serverChannel.localAddress());
  }

  private ChannelFuture bind() {
    if (draining) {
      return null;
    }
    RequestValidator validator = new RequestValidator(config.settings(), settings);
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            // A poll mostly reads nothing, which would shrink the next read's buffer below the size
            // of a request.
            .childOption(
                ChannelOption.RCVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, MIN_READ_BYTES, MAX_READ_BYTES)
                    .maxMessagesPerRead(MAX_READS_PER_TURN))
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel made) {
                    ClientHandler.add(made.pipeline(), FrontDoor.this, validator, dispatcher, pool);
                  }
                })
            .bind(config.listen());
    serverChannel = bound.channel();
    return bound;
  }

  /** Whether clients can connect. Any thread. */
  boolean listens() {
    return serverChannel != null && serverChannel.isOpen();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /** Stops at once, without a drain: for a failed start, and for tests. */
  public void stop() {
    frontends.forEach(Frontend::close);
    limiter.close();
    authorizer.close();
    membership.close();
    group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** The longest client deadline of the settings in ms, at most the protocol's. */
  private long maxDeadlineMs() {
    return Math.min(MAX_DEADLINE_MS, config.settings().maxDeadlineNanos() / 1_000_000);
  }

  /**
   * Longest duration of a drain in ms: it covers the whole deadline of the last request, and ends
   * before SIGKILL.
   */
  long maxDrainMs() {
    return ACCEPT_AFTER_TERM_MS + maxDeadlineMs() + FINAL_RESPONSES_MS;
  }

  /**
   * Stops accepting connections after a while, answers all active requests, and returns when that
   * is done. Its times count from this call, as SIGKILL's does, and not from when the loop runs it.
   */
  public void drain() {
    long from = System.nanoTime();
    loop.execute(
        () -> {
          Log.line("SIGTERM: draining, " + dispatcher.activeRequestCount() + " requests active");
          // Responses now announce that the connection closes; new connections are still accepted
          // and served for a
          // while.
          draining = true;
          frontends.forEach(Frontend::drain);
          long elapsedMs = (System.nanoTime() - from) / 1_000_000;
          loop.schedule(
              () -> {
                stopListening();
                loop.scheduleWithFixedDelay(this::checkDrained, 0, 10, TimeUnit.MILLISECONDS);
              },
              ACCEPT_AFTER_TERM_MS - elapsedMs,
              TimeUnit.MILLISECONDS);
          // A late loop counts a request's deadline from the late read: the exit would cut that
          // request off.
          loop.schedule(
              dispatcher::expireAll,
              maxDrainMs() - FINAL_RESPONSES_MS - elapsedMs,
              TimeUnit.MILLISECONDS);
        });
    try {
      boolean all = drained.await(maxDrainMs(), TimeUnit.MILLISECONDS);
      Log.line(all ? "drained" : "drain: deadline reached");
      membership.leave();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Accepts the kernel's queue before closing: a queued connection may hold a request, and closing
   * the listener resets it.
   */
  void stopListening() {
    if (serverChannel == null) {
      return;
    }
    long before = -1;
    long limit = acceptedCount + evictionThreshold;
    acceptLimit =
        acceptLimit == 0
            ? acceptedCount + LISTEN_BACKLOG
            : acceptLimit; // a limit, as clients may keep connecting meanwhile
    while (before < acceptedCount
        && acceptedCount < limit
        && clients.size() < maxClients + evictionThreshold) {
      before = acceptedCount;
      serverChannel.config().setAutoRead(true); // accepting may have been paused
      PendingInput.readAll(serverChannel);
    }
    if (acceptedCount >= limit
        && acceptedCount < acceptLimit
        && clients.size() < maxClients + evictionThreshold) {
      // Descriptors of evicted connections are freed only at the loop's next select.
      loop.schedule(this::stopListening, 1, TimeUnit.MILLISECONDS);
    } else {
      serverChannel.close();
    }
  }

  /**
   * Ends the drain when all is answered. A connection is removed only once its last response is
   * written, so that the exit cuts none off.
   */
  private void checkDrained() {
    closeIdle(RECENT_CONNECTION_NANOS);
    if (dispatcher.activeRequestCount() == 0
        && clients.isEmpty()
        && !listens()
        && frontends.stream().allMatch(Frontend::drained)) {
      drained.countDown();
    }
  }

  /** Closes connections that have been idle for longer than this, in ns. On the loop. */
  void closeIdle(long minIdleNanos) {
    long now = System.nanoTime();
    for (ClientHandler client : List.copyOf(clients)) {
      if (client.isIdle() && now - client.idleSinceNanos() > minIdleNanos) {
        client.closeIfEvictable();
      }
    }
  }

  /** The event loop that everything here runs on. */
  EventLoop loop() {
    return loop;
  }

  /**
   * Number of requests that have no final response yet or still have an open attempt. Any thread.
   */
  public int activeRequestCount() {
    return loop.submit(dispatcher::activeRequestCount).syncUninterruptibly().getNow();
  }

  /** Number of open client connections. On the loop. */
  int clients() {
    return clients.size();
  }

  private void sweep() {
    long now = System.nanoTime();
    for (ClientHandler client : List.copyOf(clients)) {
      client.closeIfTimedOut(now, MAX_IDLE_NANOS);
    }
  }

  // ---- Callbacks of connections and discovery
  // ---------------------------------------------------------

  @Override
  public boolean ready() {
    return discoveryReady && !draining;
  }

  @Override
  public boolean draining() {
    return draining;
  }

  @Override
  public void connectionOpened(ClientHandler connection) {
    clients.add(connection);
    acceptedCount++;
    if (clients.size() > maxClients) {
      if (!closeOldest(connection, 0)) {
        serverChannel.config().setAutoRead(false);
      }
    } else if (clients.size() > evictionThreshold) {
      closeOldest(connection, MIN_EVICTION_IDLE_NANOS);
    }
  }

  /**
   * Evicts a connection without an open request: closing the new one instead could lose a request
   * written to it. Prefers a connection that never sent anything, as in a connection flood, then
   * one that stopped within a request, then the one idle longest. False if none has been idle for
   * long enough.
   */
  private boolean closeOldest(ClientHandler newest, long minIdleNanos) {
    for (ClientHandler oldest = oldest(newest, minIdleNanos);
        oldest != null;
        oldest = oldest(newest, minIdleNanos)) {
      // Removed at once: the channel reports its close only at the loop's next turn, and for all
      // connections
      // accepted in the same turn the same one would be chosen again. A flood would then use up
      // every descriptor.
      if (oldest.closeIfEvictable()) {
        clients.remove(oldest);
        return true;
      }
    }
    return false;
  }

  private ClientHandler oldest(ClientHandler newest, long minIdleNanos) {
    long now = System.nanoTime();
    ClientHandler oldest = null;
    for (ClientHandler client : clients) {
      if (client != newest
          && client.evictionRank() < ClientHandler.NOT_EVICTABLE
          && now - client.idleSinceNanos() >= minIdleNanos
          && (oldest == null
              || client.evictionRank() < oldest.evictionRank()
              || client.evictionRank() == oldest.evictionRank()
                  && client.idleSinceNanos() - oldest.idleSinceNanos() < 0)) {
        oldest = client;
      }
    }
    return oldest;
  }

  @Override
  public void connectionClosed(ClientHandler connection) {
    clients.remove(connection);
    if (serverChannel.isOpen() && !serverChannel.config().isAutoRead()) {
      serverChannel.config().setAutoRead(true);
    }
  }

  @Override
  public void endpointsUpdated(boolean whole, List<Endpoint> entries) {
    dispatcher.endpointsUpdated(whole, new ArrayList<>(entries));
    discoveryReady = true;
  }

  @Override
  public void discoveryFailed() {
    dispatcher.discoveryFailed();
  }
}
