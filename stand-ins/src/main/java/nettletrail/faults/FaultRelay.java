package nettletrail.faults;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * A TCP relay between a listener and a server, whose connections get toxics. All of it runs on one event loop of its
 * group; its methods may be called from any other thread and have taken effect when they return. A toxic that is added
 * or taken away holds for new connections and for those that are open.
 */
public final class FaultRelay implements AutoCloseable {
    private static final int HOLD_TRIES = 20;
    private final String name;
    private final EventLoop loop;
    private volatile InetSocketAddress to;
    private final FaultDecider decider;
    private final FaultLog log;
    private final long startedAt = System.nanoTime();
    private final Map<String, Toxic> toxics = new LinkedHashMap<>();
    private final Set<RelayedConnection> open = new LinkedHashSet<>();
    private InetSocketAddress listen;
    private Channel listening;
    /** Has the port while nobody listens. */
    private Socket held;
    private long connections;

    private FaultRelay(String name, EventLoop loop, InetSocketAddress listen, InetSocketAddress to, long seed,
            FaultLog log) {
        this.name = name;
        this.loop = loop;
        this.listen = listen;
        this.to = to;
        this.log = log;
        decider = new FaultDecider(seed);
    }

    /**
     * Starts one.
     *
     * @param listen port 0 for any
     * @param seed for all draws
     */
    public static FaultRelay start(String name, EventLoopGroup group, InetSocketAddress listen, InetSocketAddress to,
            long seed, FaultLog log) {
        FaultRelay relay = new FaultRelay(name, group.next(), listen, to, seed, log);
        relay.await(relay.call(relay::listen));
        relay.listen = (InetSocketAddress) relay.call(() -> relay.listening.localAddress());
        return relay;
    }

    /** One on any port of loopback, in front of this server. */
    public static FaultRelay start(EventLoopGroup group, InetSocketAddress to, long seed) {
        return start("relay", group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), to, seed,
                new FaultLog());
    }

    /**
     * Keeps the port while nobody listens there, or the kernel could give it to a connection of this machine: bound and not
     * listening, it refuses all the same.
     */
    private void hold(int tries) {
        if (listening.isOpen() || held != null) {
            return;
        }
        Socket holding = new Socket();
        try {
            holding.setReuseAddress(true);
            holding.bind(listen);
            held = holding;
        } catch (IOException e) {
            letGo(holding);
            if (tries > 1) {
                // A listener that is closed is gone for the kernel only when the loop has selected again.
                loop.schedule(() -> hold(tries - 1), 1, TimeUnit.MILLISECONDS);
            }
        }
    }

    private static void letGo(Socket holding) {
        try {
            if (holding != null) {
                holding.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e); // a socket that never connected closes
        }
    }

    private ChannelFuture listen() {
        ChannelFuture binding = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        accepted(made);
                    }
                }).bind(listen);
        listening = binding.channel();
        // Both may have the port until here: only one of them listens.
        binding.addListener(bound -> {
            letGo(held);
            held = null;
        });
        return binding;
    }

    private void await(ChannelFuture binding) {
        if (!loop.inEventLoop()) {
            // A listener that is closed is gone for the kernel only when the loop has selected again.
            loop.schedule(() -> { }, 2, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
        if (binding != null && !loop.inEventLoop() && !binding.awaitUninterruptibly().isSuccess()) {
            throw new IllegalArgumentException("can't listen on " + listen + ": " + binding.cause().getMessage()
                    + "; name an address of this machine that is free");
        }
    }

    private void accepted(SocketChannel client) {
        long number = ++connections;
        String address = client.remoteAddress().getAddress().getHostAddress();
        List<Toxic> mine = decider.of(toxics.values(), number, address, (System.nanoTime() - startedAt) / 1_000_000);
        RelayedConnection connection = new RelayedConnection(this, number, client, address, startedAt);
        open.add(connection);
        client.closeFuture().addListener(closed -> ended(connection));
        for (Toxic toxic : mine) {
            if (toxic.kind() == Toxic.Kind.REFUSE) {
                done(number, toxic, 0, "reset when accepted");
                connection.cut(true);
                return;
            }
            if (toxic.kind() == Toxic.Kind.BLACK_HOLE) {
                done(number, toxic, 0, "never connected on");
                return; // and never read
            }
        }
        connection.toxics(mine);
        var connecting = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false).option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 5_000)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        connection.server(made);
                    }
                }).connect(to);
        connecting.addListener(made -> {
            if (made.isSuccess()) {
                connection.begin();
            } else {
                connection.cut(true);
            }
        });
    }

    void ended(RelayedConnection connection) {
        open.remove(connection);
    }

    void done(long connection, Toxic toxic, long offset, String what) {
        log.add(new FaultLog.Event(System.currentTimeMillis(), name, connection, toxic.stream(), toxic.name(),
                toxic.kind(), offset, what));
    }

    FaultDecider decider() {
        return decider;
    }

    EventLoop loop() {
        return loop;
    }

    // ---- From any thread --------------------------------------------------------------------------------

    /** Adds a toxic, or puts it in place of the one of its name. */
    public void add(Toxic toxic) {
        await(call(() -> {
            toxics.put(toxic.name(), toxic);
            return changed();
        }));
    }

    /** Takes a toxic away; false if there is none of that name. What it holds back goes on. */
    public boolean remove(String toxic) {
        boolean[] there = new boolean[1];
        await(call(() -> {
            there[0] = toxics.remove(toxic) != null;
            return changed();
        }));
        return there[0];
    }

    /** New connections go on to there from now on. */
    public void point(InetSocketAddress server) {
        call(() -> to = server);
    }

    /** Takes all away. */
    public void reset() {
        await(call(() -> {
            toxics.clear();
            return changed();
        }));
    }

    /** Puts the toxics in force; what listens anew is returned, else null. */
    private ChannelFuture changed() {
        boolean refuses = toxics.values().stream().anyMatch(toxic -> toxic.kind() == Toxic.Kind.REFUSE
                && toxic.toxicity() == 1 && toxic.when().equals(Toxic.When.ALWAYS));
        ChannelFuture binding = null;
        if (refuses && listening.isOpen()) {
            listening.close(); // the kernel refuses: the one way to be as a port where nobody listens
            loop.schedule(() -> hold(HOLD_TRIES), 1, TimeUnit.MILLISECONDS);
        } else if (!refuses && !listening.isOpen()) {
            binding = listen();
        }
        for (RelayedConnection each : List.copyOf(open)) {
            each.toxics(decider.of(toxics.values(), each.number(), each.address(), each.acceptedAtMs()));
        }
        return binding;
    }

    /** Those in force, in the order in which bytes meet them. */
    public List<Toxic> toxics() {
        return call(() -> List.copyOf(toxics.values()));
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return listen;
    }

    /** Where it connects on to. */
    public InetSocketAddress to() {
        return to;
    }

    public String name() {
        return name;
    }

    public FaultLog log() {
        return log;
    }

    /** Connections open through it. */
    public int open() {
        return call(open::size);
    }

    /** Connections that it accepted so far. */
    public long connections() {
        return call(() -> connections);
    }

    /** Ends all that are open, with resets. */
    public void cutAll() {
        call(() -> {
            List.copyOf(open).forEach(each -> each.cut(true));
            return null;
        });
    }

    @Override
    public void close() {
        call(() -> {
            listening.close();
            letGo(held);
            held = null;
            List.copyOf(open).forEach(each -> each.cut(false));
            return null;
        });
    }

    private <T> T call(Callable<T> what) {
        try {
            if (loop.inEventLoop()) {
                return what.call();
            }
            return loop.submit(what).syncUninterruptibly().getNow();
        } catch (RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
