package nettletrail.site;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A backend with cores, a queue, a cold start and a drain, as the protocol has it: it begins a request when its last byte
 * has come, turns away what it can't take, tells its load, its customers' use and true units, and falls over if it is
 * offered too much while it is cold. On one event loop.
 */
public final class SiteBackend implements AutoCloseable {
    private static final long MS = 1_000_000L;
    private static final int MOST_BODY = 64 << 10;
    private static final long FALLEN_MS = 2_000;

    /**
     * What it is made of.
     *
     * @param cores requests that it works on at once
     * @param queue requests that may wait; more are turned away
     * @param workMs mean work of a request, exponential
     */
    public record Machine(int cores, int queue, double workMs) { }

    private final class Work {
        private final ChannelHandlerContext on;
        private final String id;
        private final String body;
        private final double units;
        private final boolean keepAlive;

        Work(ChannelHandlerContext on, String id, String body, double units, boolean keepAlive) {
            this.on = on;
            this.id = id;
            this.body = body;
            this.units = units;
            this.keepAlive = keepAlive;
        }
    }

    private final String name;
    private final EventLoop loop;
    private final SiteSettings settings;
    private final Machine machine;
    private final Events events;
    private final Meter meter;
    private final Map<String, String> customers = new ConcurrentHashMap<>();
    private final SplittableRandom random;
    /** Of this life: a group that was closed closes all that are added later. */
    private volatile ChannelGroup connections;
    private final ArrayDeque<Work> queue = new ArrayDeque<>();
    private Channel listening;
    private long startedAt;
    private boolean cold;
    private boolean draining;
    private double slowness = 1;
    private int busy;
    private int life;
    private long overSince;
    private double offeredMs;
    private long offeredSince;

    SiteBackend(String name, EventLoopGroup group, SiteSettings settings, Machine machine, Events events, Meter meter,
            long seed) {
        this.name = name;
        loop = group.next();
        this.settings = settings;
        this.machine = machine;
        this.events = events;
        this.meter = meter;
        random = new SplittableRandom(seed);
        listen(0);
    }

    private ServerBootstrap bootstrap() {
        ChannelGroup life = new DefaultChannelGroup(loop, true);
        connections = life;
        return new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        life.add(made);
                        Arrivals first = new Arrivals();
                        made.pipeline().addLast(first, new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY),
                                new Requests(first));
                    }
                });
    }

    private void listen(int port) {
        listening = bootstrap().bind(InetAddress.getLoopbackAddress(), port).syncUninterruptibly().channel();
    }

    public String name() {
        return name;
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    // ---- What the operators do to it; from any thread ---------------------------------------------------

    /** It takes nothing new from now on, and ends what it has. */
    public void drain() {
        loop.execute(() -> draining = true);
    }

    /** Work takes so many times as long. */
    public void slow(double times) {
        loop.execute(() -> slowness = times);
    }

    /** Its process dies: connections are reset, new ones refused, what was begun is never answered. */
    public void crash() {
        loop.submit(() -> {
            listening.close();
            for (Channel each : connections) {
                ((SocketChannel) each).config().setSoLinger(0);
            }
            connections.close();
            life++;
            queue.clear();
            busy = 0;
        }).syncUninterruptibly();
    }

    /** It starts again at its address, cold. */
    public void start() {
        InetSocketAddress before = address();
        crash();
        listen(before.getPort());
        loop.submit(() -> {
            draining = false;
            cold = true;
            startedAt = System.nanoTime();
            offeredSince = 0;
            overSince = 0;
        }).syncUninterruptibly();
    }

    @Override
    public void close() {
        crash();
    }

    // ---- Work -------------------------------------------------------------------------------------------

    private double warmth(long now) {
        if (!cold) {
            return 1;
        }
        double age = (now - startedAt) / (double) (settings.rampMs() * MS);
        cold = age < 1;
        return Math.min(1, settings.coldFrom() + (1 - settings.coldFrom()) * age);
    }

    private void begin(Work work) {
        busy++;
        long now = System.nanoTime();
        double took = -machine.workMs() * Math.log(1 - random.nextDouble()) * slowness / warmth(now);
        int mine = life;
        loop.schedule(() -> {
            if (mine != life) {
                return; // of a process that is gone
            }
            if (!work.on.channel().isActive()) {
                done();
                return;
            }
            answer(work.on, 200, work.body, work);
            done();
        }, (long) (took * MS), TimeUnit.NANOSECONDS);
    }

    private void done() {
        busy = Math.max(0, busy - 1);
        Work next = queue.pollFirst();
        if (next != null) {
            begin(next);
        }
    }

    /** Over a span, the work offered against what a cold machine can do. */
    private void offered(long now) {
        double can = machine.cores() * warmth(now);
        if (!cold) {
            return;
        }
        if (offeredSince == 0 || now - offeredSince > 250 * MS) {
            double ratio = offeredSince == 0 ? 0 : offeredMs * MS / (now - offeredSince) / can;
            overSince = ratio > settings.overloadFactor() ? overSince == 0 ? offeredSince : overSince : 0;
            offeredMs = 0;
            offeredSince = now;
            if (overSince != 0 && now - overSince > settings.fallMs() * MS) {
                events.add(new Events.FellOver(name, now));
                loop.execute(this::fall);
            }
        }
        offeredMs += machine.workMs() * slowness;
    }

    private void fall() {
        int port = address().getPort();
        listening.close();
        connections.close();
        life++;
        queue.clear();
        busy = 0;
        overSince = 0;
        offeredSince = 0;
        loop.schedule(() -> {
            listening = bootstrap().bind(InetAddress.getLoopbackAddress(), port).channel();
        }, FALLEN_MS, TimeUnit.MILLISECONDS);
    }

    private void answer(ChannelHandlerContext on, int status, String body, Work work) {
        ByteBuf bytes = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status), bytes);
        response.headers().set("Content-Length", Integer.toString(bytes.readableBytes()));
        response.headers().set("X-Pressure", String.format(Locale.ROOT, "pending=%d,cpu_share=%.2f", queue.size(),
                Math.min(1, busy / (double) machine.cores())));
        if (status != 200) {
            response.headers().set("X-Turned-Away", "1");
        }
        if (work != null) {
            String[] who = customers.remove(work.id).split(" ");
            SiteSettings.Plan plan = settings.plan(who[0]);
            int percent = plan == null || !settings.metered() ? -1
                    : meter.percent(who[1], plan.rate(), System.nanoTime());
            if (percent >= 0) {
                response.headers().set("X-Quota-Used", Integer.toString(percent));
            }
            // The true units: what the client named was a guess.
            double charged = Math.min(4 * SiteSettings.MOST_UNITS, work.units * (0.6 + 0.8 * random.nextDouble()));
            response.headers().set("X-Units-Charged", String.format(Locale.ROOT, "%.2f", charged));
        }
        if (work != null && !work.keepAlive) {
            response.headers().set("Connection", "close");
            on.writeAndFlush(response).addListener(io.netty.channel.ChannelFutureListener.CLOSE);
        } else {
            on.writeAndFlush(response);
        }
    }

    /** When the first byte of the request under way came. */
    private static final class Arrivals extends ChannelInboundHandlerAdapter {
        private long firstByteNs;

        @Override
        public void channelRead(ChannelHandlerContext on, Object message) {
            if (firstByteNs == 0) {
                firstByteNs = System.nanoTime();
            }
            on.fireChannelRead(message);
        }
    }

    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Arrivals arrivals;

        Requests(Arrivals arrivals) {
            this.arrivals = arrivals;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext on, FullHttpRequest request) {
            long now = System.nanoTime();
            long first = arrivals.firstByteNs;
            arrivals.firstByteNs = 0;
            String id = request.headers().get("X-Txn");
            if (id == null || request.decoderResult().isFailure()) {
                answer(on, id == null ? 404 : 400, "", null);
                return;
            }
            offered(now);
            if (draining || busy >= machine.cores() && queue.size() >= machine.queue()) {
                events.add(new Events.TurnedAway(id, name, now));
                answer(on, 503, "", null);
                return;
            }
            String uri = request.uri();
            String body = "ran " + id + " at " + name + " for " + request.method() + " " + uri;
            events.add(new Events.Ran(id, name, first, now, body));
            String plan = parameter(uri, "plan");
            String customer = parameter(uri, "customer");
            double units = Double.parseDouble(parameter(uri, "units"));
            customers.put(id, plan + " " + customer);
            meter.took(id, customer, units, now);
            Work work = new Work(on, id, body, units, HttpUtil.isKeepAlive(request));
            if (busy < machine.cores()) {
                begin(work);
            } else {
                queue.addLast(work);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            on.close();
        }
    }

    /** Clients name these in the query too, since front doors need pass on no other header than the id. */
    private static String parameter(String uri, String name) {
        int at = uri.indexOf(name + "=");
        if (at < 0) {
            return name.equals("units") ? "1" : "-";
        }
        int end = uri.indexOf('&', at);
        return uri.substring(at + name.length() + 1, end < 0 ? uri.length() : end);
    }
}
