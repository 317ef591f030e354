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

/** One front door: its parts, its start, when it is ready and how it ends. */
public final class FrontDoor implements ClientHandler.Owner, Endpoint.Listener {
    /** New connections go on coming for so long after SIGTERM. */
    static final long ACCEPT_AFTER_TERM_MS = 500;
    /** No client waits longer, by the protocol; {@link #maxDeadlineMs} may be less. */
    static final long MAX_DEADLINE_MS = 3_000;
    /**
     * Kept at the end of a drain for the last answers' way out: what is open then is answered as if its time were up.
     * With the above it ends 0.05 s before SIGKILL may come, 0.7 s and the settings' longest deadline after SIGTERM.
     */
    private static final long FINAL_RESPONSES_MS = 150;
    /** Who connected so lately may have a request on its way: its connection is not closed as idle in a drain. */
    static final long RECENT_CONNECTION_NANOS = 100_000_000L;
    /** Without discovery, the list that the configuration holds has to do after this time. */
    private static final long MAX_DISCOVERY_WAIT_MS = 1_000;
    private static final long SWEEP_MS = 200;
    /** A connection with no request open is closed after so long; with the sweep's period, well inside 3 s. */
    private static final long MAX_IDLE_NANOS = 2_000_000_000L;
    /**
     * Over a quarter of the descriptors, a connection that has stood for so long makes room for a new one. Clients may
     * hold a third of them for requests, and many ask once and keep theirs: with all of these standing for 2 s, who
     * comes next could not connect at all. It guards as well against silent crowds, long before the cap. Harm: a pool
     * of clients larger than that opens some connections anew.
     */
    private static final long MIN_EVICTION_IDLE_NANOS = 300_000_000L;
    /** Descriptors that are neither clients' nor backends': files of the JVM, the selector, discovery. */
    private static final int RESERVED_SOCKETS = 48;
    /** Bytes of one read of a client's connection. */
    private static final int MIN_READ_BYTES = 2 << 10;
    private static final int MAX_READ_BYTES = 64 << 10;
    /** Of one connection; as many as Netty's own. */
    private static final int MAX_READS_PER_TURN = 16;
    /** Connections that the kernel may have accepted and that are not taken yet. */
    private static final int LISTEN_BACKLOG = 1024;

    private final EventLoopClock clock = new EventLoopClock();
    private final NioEventLoopGroup group = new NioEventLoopGroup(1, (Executor) null, SelectorProvider.provider(),
            () -> clock);
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
    /** Null until others can connect. */
    private volatile Channel serverChannel;
    /** Client connections so far. */
    private long acceptedCount;
    /** At so many listening ends, 0 before its end began. */
    private long acceptLimit;
    private boolean discoveryReady;
    private volatile boolean draining;

    /** The project's own. */
    public static final Dispatcher.GatewayFactory GATEWAY_FACTORY = GatewayDecider::new;

    /** No lambda: one that isn't in the archive of classes costs each start more. */
    private static final class ApertureGatewayFactory implements Dispatcher.GatewayFactory {
        private final Dispatcher.GatewayFactory factory;
        private final int index;
        private final ApertureSettings aperture;

        ApertureGatewayFactory(Dispatcher.GatewayFactory factory, int index, ApertureSettings aperture) {
            this.factory = factory;
            this.index = index;
            this.aperture = aperture;
        }

        @Override
        public Gateway create(Gateway.Settings settings, long now, Gateway.Actions actions) {
            return ApertureGateway.wrap(factory.create(settings, now, actions), settings, index, aperture);
        }
    }

    private FrontDoor(FrontDoorConfig config, Dispatcher.GatewayFactory factory, FrontDoorExtensions extensions) {
        this.config = config;
        settings = config.settings().settings(config.seed());
        int availableSockets = config.maxSockets() - RESERVED_SOCKETS;
        maxClients = availableSockets / 2;
        evictionThreshold = config.maxSockets() / 4;
        pool = new BackendPool(loop, new BackendReport.Reader(config.settings()),
                config.settings().durationNanos("Ceilings.ConnectTimeout"),
                config.settings().durationNanos("Ceilings.ConnIdle"), availableSockets - maxClients);
        List<AttemptTransport> transports = new ArrayList<>(List.of(pool));
        for (Frontend.Factory each : extensions.frontends()) {
            Frontend front = each.create(group, config.settings(), settings);
            frontends.add(front);
            transports.add(front.attemptTransport());
        }
        membership = extensions.membership().create(config.name(), loop, config.settings(), settings);
        limiter = extensions.limiter().create(config.name(), loop, config.settings(), settings);
        limiter.setMembership(membership);
        authorizer = extensions.authorizer().create(config.name(), loop, clock, config.settings(), settings);
        int index = config.settings().gatewayIndex();
        ApertureSettings aperture = config.settings().aperture(extensions.aperture());
        dispatcher = new Dispatcher(loop, clock, authorizer, limiter, transports, config.settings(), settings,
                new ApertureGatewayFactory(factory, index, aperture));
        discovery = new DiscoveryClient(loop, config.discovery(), knownVersion(config.knownEndpoints()), config.seed(),
                this);
        dispatcher.setDiscoveryPoll(discovery::readPending);
    }

    /** Of the list that the configuration holds, or below 0: what is newer is less than the whole list. */
    private static long knownVersion(Map<?, ?> known) {
        boolean whole = known.get("endpoints") instanceof List<?> entries && !entries.isEmpty();
        return whole && known.get("index") instanceof Number n ? n.longValue() : -1;
    }

    /** Serves until SIGTERM. Exits with 2 and one line on standard error if it can't start. */
    public static void serve(Map<String, String> env, FrontDoorExtensions extensions) throws InterruptedException {
        Log.install();
        FrontDoor door;
        try {
            door = prepare(FrontDoorConfig.read(env), GATEWAY_FACTORY, extensions);
        } catch (FrontDoorConfig.InvalidConfigException | InvalidInputException | IllegalArgumentException e) {
            System.err.println("nettletrail: " + e.getMessage());
            System.exit(2);
            return;
        }
        FrontDoor prepared = door;
        onHangup(() -> prepared.reload(env));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            prepared.drain();
            // Out of a hook the exit status would be the signal's.
            Runtime.getRuntime().halt(0);
        }, "drain"));
        try {
            prepared.warmUp().await();
            prepared.open();
        } catch (IllegalArgumentException e) {
            System.err.println("nettletrail: " + e.getMessage());
            Runtime.getRuntime().halt(2); // by exit, the hook would make it 0
        }
    }

    /** By itself a JVM ends on SIGHUP, with all that it holds; the standard library has no other way to hear it. */
    static void onHangup(Runnable reload) {
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> reload.run());
    }

    /** Takes in where the replaced configuration puts discovery; one that can't be used changes nothing. */
    void reload(Map<String, String> env) {
        try {
            InetSocketAddress agent = FrontDoorConfig.currentDiscoveryAddress(env);
            loop.execute(() -> discovery.switchAgent(agent));
        } catch (FrontDoorConfig.InvalidConfigException e) {
            Log.line("SIGHUP: " + e.getMessage() + "; the old configuration stays");
        }
    }

    /**
     * Starts one in this process; it isn't ready before it has heard from discovery.
     *
     * @throws IllegalArgumentException if it can't, with a line that says why
     */
    public static FrontDoor start(FrontDoorConfig config, Dispatcher.GatewayFactory factory,
            Frontend.Factory... extensions)
            throws InterruptedException {
        return start(config, factory, new FrontDoorExtensions(List.of(extensions), FrontDoorExtensions.NONE.limiter()));
    }

    /** The same with all that an operator file may turn on. */
    public static FrontDoor start(FrontDoorConfig config, Dispatcher.GatewayFactory factory,
            FrontDoorExtensions extensions)
            throws InterruptedException {
        FrontDoor door = prepare(config, factory, extensions);
        door.open();
        return door;
    }

    /** The same, but nobody can come yet: that is for {@link #open}. */
    static FrontDoor prepare(FrontDoorConfig config, Dispatcher.GatewayFactory factory, FrontDoorExtensions extensions)
            throws InterruptedException {
        FrontDoor door = new FrontDoor(config, factory, extensions);
        try {
            door.loop.submit(() -> {
                door.dispatcher.endpointsUpdated(true, DiscoveryClient.parseEndpoints(config.knownEndpoints()));
                return null;
            }).get();
            door.loop.execute(door.discovery::poll);
            door.loop.schedule(() -> door.discoveryReady = true, MAX_DISCOVERY_WAIT_MS, TimeUnit.MILLISECONDS);
            door.loop.scheduleWithFixedDelay(door::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | IllegalArgumentException e) {
            door.stop();
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        return door;
    }

    /**
     * From here on others can connect, on all fronts. Any thread but the loop.
     *
     * @throws IllegalArgumentException if it can't listen, with a line that says why; it is stopped then
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
     * A dry run, before anybody can come: what clients ask first would otherwise be served by cold code. It keeps the loop
     * late, by a second and more on a part of a core, so that a front door that could be reached meanwhile (after a restart
     * clients come at once) would answer late, and go on sending by a list that is superseded by one it has not read.
     *
     * @return counted down when it is over
     */
    CountDownLatch warmUp() {
        CountDownLatch over = new CountDownLatch(1);
        loop.execute(() ->
                new FrontDoorWarmUp(loop, config.settings(), config.settings().settings(config.seed()))
                        .start(over::countDown));
        return over;
    }

    /** Bound on the loop, which also begins the drain: one that was told to end while it warmed up never listens. */
    private void listen() throws InterruptedException {
        ChannelFuture bound = loop.submit(this::bind).sync().getNow();
        if (bound == null) {
            return;
        }
        if (!bound.await().isSuccess()) {
            throw new IllegalArgumentException("EDGE_LISTEN: can't listen on " + config.listen() + ": "
                    + bound.cause().getMessage());
        }
        Log.line(config.name() + " listens on " + serverChannel.localAddress());
    }

    private ChannelFuture bind() {
        if (draining) {
            return null;
        }
        RequestValidator validator = new RequestValidator(config.settings(), settings);
        ChannelFuture bound = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // A look mostly reads nothing, by which the next read's buffer would get smaller than a request.
                .childOption(ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, MIN_READ_BYTES, MAX_READ_BYTES)
                        .maxMessagesPerRead(MAX_READS_PER_TURN))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        ClientHandler.add(made.pipeline(), FrontDoor.this, validator, dispatcher, pool);
                    }
                }).bind(config.listen());
        serverChannel = bound.channel();
        return bound;
    }

    /** Whether others can connect. Any thread. */
    boolean listens() {
        return serverChannel != null && serverChannel.isOpen();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /** Ends at once: for a start that failed, and for tests. */
    public void stop() {
        frontends.forEach(Frontend::close);
        limiter.close();
        authorizer.close();
        membership.close();
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** The longest that a client waits, by the settings. */
    private long maxDeadlineMs() {
        return Math.min(MAX_DEADLINE_MS, config.settings().maxDeadlineNanos() / 1_000_000);
    }

    /** From SIGTERM to the end at the latest: all the time of a request that came last; before SIGKILL. */
    long maxDrainMs() {
        return ACCEPT_AFTER_TERM_MS + maxDeadlineMs() + FINAL_RESPONSES_MS;
    }

    /**
     * Takes no more than it must, answers all that it holds, and returns when that is done. Its times count from this
     * call, as SIGKILL's does, and not from when the loop gets to it.
     */
    public void drain() {
        long from = System.nanoTime();
        loop.execute(() -> {
            Log.line("SIGTERM: draining, " + dispatcher.activeRequestCount() + " held");
            // Answers now say that the connection closes; clients go on connecting for a while, and are served.
            draining = true;
            frontends.forEach(Frontend::drain);
            long elapsedMs = (System.nanoTime() - from) / 1_000_000;
            loop.schedule(() -> {
                stopListening();
                loop.scheduleWithFixedDelay(this::checkDrained, 0, 10, TimeUnit.MILLISECONDS);
            }, ACCEPT_AFTER_TERM_MS - elapsedMs, TimeUnit.MILLISECONDS);
            // A loop that read a request late counts its time from then: cut off by the exit, it would be lost.
            loop.schedule(dispatcher::expireAll, maxDrainMs() - FINAL_RESPONSES_MS - elapsedMs, TimeUnit.MILLISECONDS);
        });
        try {
            boolean all = drained.await(maxDrainMs(), TimeUnit.MILLISECONDS);
            Log.line(all ? "drained" : "drain: time is up");
            membership.leave();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What the kernel has accepted is ours: it may hold a request, and a close of the listener would reset it. */
    void stopListening() {
        if (serverChannel == null) {
            return;
        }
        long before = -1;
        long limit = acceptedCount + evictionThreshold;
        acceptLimit = acceptLimit == 0 ? acceptedCount + LISTEN_BACKLOG
                : acceptLimit; // who comes while this goes on has no end
        while (before < acceptedCount && acceptedCount < limit && clients.size() < maxClients + evictionThreshold) {
            before = acceptedCount;
            serverChannel.config().setAutoRead(true); // it may have waited for room
            PendingInput.readAll(serverChannel);
        }
        if (acceptedCount >= limit && acceptedCount < acceptLimit && clients.size() < maxClients + evictionThreshold) {
            // The descriptors of those that made room are free only after the loop's next look at its sockets.
            loop.schedule(this::stopListening, 1, TimeUnit.MILLISECONDS);
        } else {
            serverChannel.close();
        }
    }

    /** A connection is gone only when its last answer is written, so that none is cut off by the exit. */
    private void checkDrained() {
        closeIdle(RECENT_CONNECTION_NANOS);
        if (dispatcher.activeRequestCount() == 0 && clients.isEmpty() && !listens()
                && frontends.stream().allMatch(Frontend::drained)) {
            drained.countDown();
        }
    }

    /** Closes the connections that have stood between two requests for longer than this, ns. On the loop. */
    void closeIdle(long minIdleNanos) {
        long now = System.nanoTime();
        for (ClientHandler client : List.copyOf(clients)) {
            if (client.isIdle() && now - client.idleSinceNanos() > minIdleNanos) {
                client.closeIfEvictable();
            }
        }
    }

    /** The one that all of it runs on. */
    EventLoop loop() {
        return loop;
    }

    /** Requests taken on and not answered, or with an attempt still out. Any thread. */
    public int activeRequestCount() {
        return loop.submit(dispatcher::activeRequestCount).syncUninterruptibly().getNow();
    }

    /** Client connections open; to be asked on the loop. */
    int clients() {
        return clients.size();
    }

    private void sweep() {
        long now = System.nanoTime();
        for (ClientHandler client : List.copyOf(clients)) {
            client.closeIfTimedOut(now, MAX_IDLE_NANOS);
        }
    }

    // ---- What connections and discovery tell ------------------------------------------------------------

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
     * Makes room by a connection with no request open: refusing the new one could lose a request written to it.
     * First one that never said anything, as those that come by hundreds do, then one that stopped within a
     * request, then the one longest idle. False if there is none that has stood for so long.
     */
    private boolean closeOldest(ClientHandler newest, long minIdleNanos) {
        for (ClientHandler oldest = oldest(newest, minIdleNanos); oldest != null; oldest = oldest(newest,
                minIdleNanos)) {
            // Left out at once: the channel tells its end only at the loop's next turn, and for all that are taken
            // in the same turn the same one would be found again. A crowd would grow past every descriptor.
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
            if (client != newest && client.evictionRank() < ClientHandler.NOT_EVICTABLE
                    && now - client.idleSinceNanos() >= minIdleNanos
                    && (oldest == null || client.evictionRank() < oldest.evictionRank()
                    || client.evictionRank() == oldest.evictionRank() && client.idleSinceNanos() - oldest.idleSinceNanos() < 0)) {
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
