package nettletrail.app.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * One door's share of the traffic on sockets, to a front door or to the relay. What a request took beyond the time that
 * its id draws at a backend is what the way there added; both are held against each other by that. On one loop; other
 * threads wait for it.
 */
final class RealLoad {
    private static final long MOST_US = 60_000_000L;
    /** A front door closes what has stood for 2 s. */
    private static final long MOST_IDLE_NS = 1_000_000_000L;
    private static final HexFormat HEX = HexFormat.of();

    private final EventLoop loop;
    private final FleetPlan plan;
    private final int door;
    private final SplittableRandom random;
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private InetSocketAddress target;
    private boolean running;
    private boolean recording;
    private long nextId;
    private long dueNs;
    private Histogram added = new Histogram(MOST_US, 3);
    private long notServed;

    RealLoad(EventLoop loop, FleetPlan plan, int door) {
        this.loop = loop;
        this.plan = plan;
        this.door = door;
        // By the door alone, so that both ways carry the same requests.
        random = new SplittableRandom(plan.seed() * 7 + door);
        nextId = 1L << 62 | (long) door << 40;
    }

    /** Sends there from now on. */
    void start(InetSocketAddress to) {
        on(() -> {
            target = to;
            dueNs = System.nanoTime();
            if (!running) {
                running = true;
                tick();
            }
            return null;
        });
    }

    /** Sends no more; what is out is still answered. */
    void stop() {
        on(() -> {
            running = false;
            List.copyOf(idle).forEach(each -> each.channel.close());
            idle.clear();
            return null;
        });
    }

    /** From now on answers count, from nothing. */
    void record() {
        on(() -> {
            recording = true;
            added = new Histogram(MOST_US, 3);
            notServed = 0;
            return null;
        });
    }

    /** From now on they count no longer. */
    void stopRecording() {
        on(() -> {
            recording = false;
            return null;
        });
    }

    /** us that each counted answer took beyond its backend's own time; those that were not served are no part of it. */
    Histogram added() {
        return on(added::copy);
    }

    /** Counted requests that were answered otherwise than with 200. */
    long notServed() {
        return on(() -> notServed);
    }

    private <T> T on(Callable<T> call) {
        return loop.submit(call).syncUninterruptibly().getNow();
    }

    private void tick() {
        if (!running) {
            return;
        }
        long now = System.nanoTime();
        while (dueNs - now <= 0) {
            dueNs += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / FleetPlan.DOOR_RATE);
            request();
        }
        for (Connection first = idle.peekFirst(); first != null && now - first.idleSince > MOST_IDLE_NS;
                first = idle.peekFirst()) {
            idle.pollFirst();
            first.channel.close();
        }
        loop.schedule(this::tick, dueNs - now, TimeUnit.NANOSECONDS);
    }

    private void request() {
        boolean unsafe = random.nextInt(3) == 0;
        long tenant = plan.tenant(door, random);
        String id = HEX.toHexDigits(nextId++);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                unsafe ? HttpMethod.POST : HttpMethod.GET, "/api/port", Unpooled.EMPTY_BUFFER);
        request.headers().set("Host", "service.internal").set("X-Txn", id)
                .set("X-Lane", unsafe ? "order-submit" : "order-status").set("X-Plan", "standard")
                .set("X-Customer", HEX.toHexDigits(tenant)).set("X-Remaining-Ms", "3000").set("X-Quota", "units=1,spread="
                + Math.min(FleetPlan.SET, plan.doors()) + ",first=" + plan.first(tenant));
        if (unsafe) {
            request.headers().set("Content-Length", "0");
        }
        Connection free = idle.pollLast();
        while (free != null && !free.channel.isActive()) {
            free = idle.pollLast();
        }
        // Counted from when this loop came to it: its timer's lateness is not the server's.
        long from = System.nanoTime();
        if (free != null) {
            free.send(request, id, from);
            return;
        }
        Connection made = new Connection();
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(64 << 10), made);
                    }
                }).connect(target).addListener(done -> {
                    if (done.isSuccess()) {
                        made.send(request, id, from);
                    } else {
                        request.release();
                        notServed += recording ? 1 : 0;
                    }
                });
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private String id;
        private long from;
        private long idleSince;

        @Override
        public void handlerAdded(ChannelHandlerContext on) {
            channel = on.channel();
        }

        void send(DefaultFullHttpRequest request, String id, long from) {
            this.id = id;
            this.from = from;
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext on, FullHttpResponse response) {
            idleSince = System.nanoTime();
            if (recording && response.status().code() == 200) {
                added.recordValue(Math.max(0, Math.min(MOST_US, (idleSince - from - FleetPlan.answerNs(id)) / 1_000)));
            } else if (recording) {
                notServed++;
            }
            id = null;
            if (running && response.headers().get("Connection") == null) {
                idle.addLast(this);
            } else {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext on) {
            idle.remove(this);
            notServed += id != null && recording ? 1 : 0;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            on.close();
        }
    }
}
