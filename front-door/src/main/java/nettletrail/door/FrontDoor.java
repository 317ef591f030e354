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
    /** No client waits longer, by the protocol; {@link #longestMs} may be less. */
    static final long MOST_LONGEST_MS = 3_000;
    /**
     * Kept at the end of a drain for the last answers' way out: what is open then is answered as if its time were up.
     * With the above it ends 0.05 s before SIGKILL may come, 0.7 s and the settings' longest deadline after SIGTERM.
     */
    private static final long LAST_ANSWERS_MS = 150;
    /** Who connected so lately may have a request on its way: its connection is not closed as idle in a drain. */
    static final long JUST_CAME_NS = 100_000_000L;
    /** Without discovery, the list that the configuration holds has to do after this time. */
    private static final long MOST_LIST_WAIT_MS = 1_000;
    private static final long SWEEP_MS = 200;
    /** A connection with no request open is closed after so long; with the sweep's period, well inside 3 s. */
    private static final long MOST_STANDING_NS = 2_000_000_000L;
    /**
     * Over a quarter of the descriptors, a connection that has stood for so long makes room for a new one. Clients may
     * hold a third of them for requests, and many ask once and keep theirs: with all of these standing for 2 s, who
     * comes next could not connect at all. It guards as well against silent crowds, long before the cap. Harm: a pool
     * of clients larger than that opens some connections anew.
     */
    private static final long SPARED_NS = 300_000_000L;
    /** Descriptors that are neither clients' nor backends': files of the JVM, the selector, discovery. */
    private static final int OTHER_SOCKETS = 48;
    /** Bytes of one read of a client's connection. */
    private static final int LEAST_READ = 2 << 10;
    private static final int MOST_READ = 64 << 10;
    /** Of one connection; as many as Netty's own. */
    private static final int READS_A_TURN = 16;
    /** Connections that the kernel may have accepted and that are not taken yet. */
    private static final int BACKLOG = 1024;

    private final EventLoopClock clock = new EventLoopClock();
    private final NioEventLoopGroup group = new NioEventLoopGroup(1, (Executor) null, SelectorProvider.provider(),
            () -> clock);
    private final EventLoop loop = group.next();
    private final FrontDoorConfig config;
    private final Gateway.Settings settings;
    private final BackendPool pool;
    private final Dispatcher dispatcher;
    private final DiscoveryClient discovery;
    private final RequestLimiter bound;
    private final Authorizer admission;
    private final Membership members;
    private final int mostClients;
    private final int roomyClients;
    private final List<Frontend> fronts = new ArrayList<>();
    private final Set<ClientHandler> clients = new LinkedHashSet<>();
    private final CountDownLatch drained = new CountDownLatch(1);
    /** Null until others can connect. */
    private volatile Channel listening;
    /** Client connections so far. */
    private long connected;
    /** At so many listening ends, 0 before its end began. */
    private long lastTaken;
    private boolean listed;
    private volatile boolean draining;

    /** The project's own. */
    public static final Dispatcher.GatewayFactory GATEWAY_FACTORY = GatewayDecider::new;

    /** No lambda: one that isn't in the archive of classes costs each start more. */
    private static final class BehindAperture implements Dispatcher.GatewayFactory {
        private final Dispatcher.GatewayFactory module;
        private final int index;
        private final ApertureSettings aperture;

        BehindAperture(Dispatcher.GatewayFactory module, int index, ApertureSettings aperture) {
            this.module = module;
            this.index = index;
            this.aperture = aperture;
        }

        @Override
        public Gateway create(Gateway.Settings told, long now, Gateway.Actions actions) {
            return ApertureGateway.wrap(module.create(told, now, actions), told, index, aperture);
        }
    }

    private FrontDoor(FrontDoorConfig config, Dispatcher.GatewayFactory module, FrontDoorExtensions more) {
        this.config = config;
        settings = config.settings().settings(config.seed());
        int shared = config.maxSockets() - OTHER_SOCKETS;
        mostClients = shared / 2;
        roomyClients = config.maxSockets() / 4;
        pool = new BackendPool(loop, new BackendReport.Reader(config.settings()),
                config.settings().durationNanos("Ceilings.ConnectTimeout"),
                config.settings().durationNanos("Ceilings.ConnIdle"), shared - mostClients);
        List<AttemptTransport> carriers = new ArrayList<>(List.of(pool));
        for (Frontend.Factory each : more.frontends()) {
            Frontend front = each.create(group, config.settings(), settings);
            fronts.add(front);
            carriers.add(front.attemptTransport());
        }
        members = more.membership().create(config.name(), loop, config.settings(), settings);
        bound = more.limiter().create(config.name(), loop, config.settings(), settings);
        bound.setMembership(members);
        admission = more.authorizer().create(config.name(), loop, clock, config.settings(), settings);
        int index = config.settings().gatewayIndex();
        ApertureSettings aperture = config.settings().aperture(more.aperture());
        dispatcher = new Dispatcher(loop, clock, admission, bound, carriers, config.settings(), settings,
                new BehindAperture(module, index, aperture));
        discovery = new DiscoveryClient(loop, config.discovery(), version(config.knownEndpoints()), config.seed(), this);
        dispatcher.setDiscoveryPoll(discovery::readPending);
    }

    /** Of the list that the configuration holds, or below 0: what is newer is less than the whole list. */
    private static long version(Map<?, ?> known) {
        boolean whole = known.get("endpoints") instanceof List<?> entries && !entries.isEmpty();
        return whole && known.get("index") instanceof Number n ? n.longValue() : -1;
    }

    /** Serves until SIGTERM. Exits with 2 and one line on standard error if it can't start. */
    public static void serve(Map<String, String> env, FrontDoorExtensions more) throws InterruptedException {
        Log.install();
        FrontDoor door;
        try {
            door = prepare(FrontDoorConfig.read(env), GATEWAY_FACTORY, more);
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
            InetSocketAddress agent = FrontDoorConfig.discoveryNow(env);
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
    public static FrontDoor start(FrontDoorConfig config, Dispatcher.GatewayFactory module, Frontend.Factory... more)
            throws InterruptedException {
        return start(config, module, new FrontDoorExtensions(List.of(more), FrontDoorExtensions.NONE.limiter()));
    }

    /** The same with all that an operator file may turn on. */
    public static FrontDoor start(FrontDoorConfig config, Dispatcher.GatewayFactory module, FrontDoorExtensions more)
            throws InterruptedException {
        FrontDoor door = prepare(config, module, more);
        door.open();
        return door;
    }

    /** The same, but nobody can come yet: that is for {@link #open}. */
    static FrontDoor prepare(FrontDoorConfig config, Dispatcher.GatewayFactory module, FrontDoorExtensions more)
            throws InterruptedException {
        FrontDoor door = new FrontDoor(config, module, more);
        try {
            door.loop.submit(() -> {
                door.dispatcher.endpointsUpdated(true, DiscoveryClient.parseEndpoints(config.knownEndpoints()));
                return null;
            }).get();
            door.loop.execute(door.discovery::poll);
            door.loop.schedule(() -> door.listed = true, MOST_LIST_WAIT_MS, TimeUnit.MILLISECONDS);
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
            for (Frontend front : fronts) {
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
        Log.line(config.name() + " listens on " + listening.localAddress());
    }

    private ChannelFuture bind() {
        if (draining) {
            return null;
        }
        RequestValidator intake = new RequestValidator(config.settings(), settings);
        ChannelFuture bound = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // A look mostly reads nothing, by which the next read's buffer would get smaller than a request.
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(LEAST_READ, LEAST_READ, MOST_READ)
                        .maxMessagesPerRead(READS_A_TURN))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        ClientHandler.add(made.pipeline(), FrontDoor.this, intake, dispatcher, pool);
                    }
                }).bind(config.listen());
        listening = bound.channel();
        return bound;
    }

    /** Whether others can connect. Any thread. */
    boolean listens() {
        return listening != null && listening.isOpen();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Ends at once: for a start that failed, and for tests. */
    public void stop() {
        fronts.forEach(Frontend::close);
        bound.close();
        admission.close();
        members.close();
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** The longest that a client waits, by the settings. */
    private long longestMs() {
        return Math.min(MOST_LONGEST_MS, config.settings().maxDeadlineNanos() / 1_000_000);
    }

    /** From SIGTERM to the end at the latest: all the time of a request that came last; before SIGKILL. */
    long mostDrainMs() {
        return ACCEPT_AFTER_TERM_MS + longestMs() + LAST_ANSWERS_MS;
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
            fronts.forEach(Frontend::drain);
            long gone = (System.nanoTime() - from) / 1_000_000;
            loop.schedule(() -> {
                stopListening();
                loop.scheduleWithFixedDelay(this::checkDrained, 0, 10, TimeUnit.MILLISECONDS);
            }, ACCEPT_AFTER_TERM_MS - gone, TimeUnit.MILLISECONDS);
            // A loop that read a request late counts its time from then: cut off by the exit, it would be lost.
            loop.schedule(dispatcher::expireAll, mostDrainMs() - LAST_ANSWERS_MS - gone, TimeUnit.MILLISECONDS);
        });
        try {
            boolean all = drained.await(mostDrainMs(), TimeUnit.MILLISECONDS);
            Log.line(all ? "drained" : "drain: time is up");
            members.leave();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What the kernel has accepted is ours: it may hold a request, and a close of the listener would reset it. */
    void stopListening() {
        if (listening == null) {
            return;
        }
        long before = -1;
        long most = connected + roomyClients;
        lastTaken = lastTaken == 0 ? connected + BACKLOG : lastTaken; // who comes while this goes on has no end
        while (before < connected && connected < most && clients.size() < mostClients + roomyClients) {
            before = connected;
            listening.config().setAutoRead(true); // it may have waited for room
            PendingInput.readAll(listening);
        }
        if (connected >= most && connected < lastTaken && clients.size() < mostClients + roomyClients) {
            // The descriptors of those that made room are free only after the loop's next look at its sockets.
            loop.schedule(this::stopListening, 1, TimeUnit.MILLISECONDS);
        } else {
            listening.close();
        }
    }

    /** A connection is gone only when its last answer is written, so that none is cut off by the exit. */
    private void checkDrained() {
        endIdle(JUST_CAME_NS);
        if (dispatcher.activeRequestCount() == 0 && clients.isEmpty() && !listens()
                && fronts.stream().allMatch(Frontend::drained)) {
            drained.countDown();
        }
    }

    /** Closes the connections that have stood between two requests for longer than this, ns. On the loop. */
    void endIdle(long leastNs) {
        long now = System.nanoTime();
        for (ClientHandler client : List.copyOf(clients)) {
            if (client.isIdle() && now - client.idleSinceNanos() > leastNs) {
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
            client.closeIfTimedOut(now, MOST_STANDING_NS);
        }
    }

    // ---- What connections and discovery tell ------------------------------------------------------------

    @Override
    public boolean ready() {
        return listed && !draining;
    }

    @Override
    public boolean draining() {
        return draining;
    }

    @Override
    public void connectionOpened(ClientHandler connection) {
        clients.add(connection);
        connected++;
        if (clients.size() > mostClients) {
            if (!closeOldest(connection, 0)) {
                listening.config().setAutoRead(false);
            }
        } else if (clients.size() > roomyClients) {
            closeOldest(connection, SPARED_NS);
        }
    }

    /**
     * Makes room by a connection with no request open: refusing the new one could lose a request written to it.
     * First one that never said anything, as those that come by hundreds do, then one that stopped within a
     * request, then the one longest idle. False if there is none that has stood for so long.
     */
    private boolean closeOldest(ClientHandler newest, long leastNs) {
        for (ClientHandler oldest = oldest(newest, leastNs); oldest != null; oldest = oldest(newest, leastNs)) {
            // Left out at once: the channel tells its end only at the loop's next turn, and for all that are taken
            // in the same turn the same one would be found again. A crowd would grow past every descriptor.
            if (oldest.closeIfEvictable()) {
                clients.remove(oldest);
                return true;
            }
        }
        return false;
    }

    private ClientHandler oldest(ClientHandler newest, long leastNs) {
        long now = System.nanoTime();
        ClientHandler oldest = null;
        for (ClientHandler client : clients) {
            if (client != newest && client.evictionRank() < ClientHandler.NOT_EVICTABLE && now - client.idleSinceNanos() >= leastNs
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
        if (listening.isOpen() && !listening.config().isAutoRead()) {
            listening.config().setAutoRead(true);
        }
    }

    @Override
    public void endpointsUpdated(boolean whole, List<Endpoint> entries) {
        dispatcher.endpointsUpdated(whole, new ArrayList<>(entries));
        listed = true;
    }

    @Override
    public void discoveryFailed() {
        dispatcher.discoveryFailed();
    }
}
