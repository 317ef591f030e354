package nettletrail.site;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BinaryOperator;
import org.HdrHistogram.Histogram;

/**
 * Clients of a site: a paced mix of classes, plans and customers, kept connections with one request at a time, retries
 * with back-off under new ids, and deadlines after which they leave. On one event loop.
 */
public final class SiteClients {
    private static final long MS = 1_000_000L;
    private static final int MOST_ANSWER = 1 << 20;
    private static final int MOST_TRIES = 3;

    /** What became of requests of a class and plan. */
    public static final class Count {
        public long sent;
        public long served;
        public long refused;
        public long failed;
        public long lost;
        public long late;
        public final Histogram latency = new Histogram(60_000_000L, 3);
    }

    private static final class Door {
        private final InetSocketAddress address;
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();

        Door(InetSocketAddress address) {
            this.address = address;
        }
    }

    private record Wish(SiteSettings.RequestClass kind, SiteSettings.Plan plan, String customer, double units, int spread,
            int first, int tries) { }

    private final EventLoop loop;
    private final SiteSettings settings;
    private final Events events;
    private final SplittableRandom random;
    private final List<Door> doors = new ArrayList<>();
    private final Map<String, Count> counts = new TreeMap<>();
    private BinaryOperator<String> credentials;
    private long number;
    private int open;
    private boolean stopping;
    private long dueNs;

    /** @param doors where front doors listen, in the settings' order */
    public SiteClients(EventLoopGroup group, SiteSettings settings, List<InetSocketAddress> doors, Events events,
            long seed) {
        loop = group.next();
        this.settings = settings;
        this.events = events;
        random = new SplittableRandom(seed);
        doors.forEach(each -> this.doors.add(new Door(each)));
    }

    /** The ids follow this number. */
    SiteClients idsFrom(long before) {
        loop.submit(() -> number = before).syncUninterruptibly();
        return this;
    }

    /**
     * Requests bring credentials from now on.
     *
     * @param made of the request's id and customer: the value of {@code Authorization}; asked on this one's loop
     */
    public SiteClients credentials(BinaryOperator<String> made) {
        loop.submit(() -> credentials = made).syncUninterruptibly();
        return this;
    }

    /** Sends so many new requests a second, with exponential gaps, until {@link #stop}. */
    public void start(double rate) {
        loop.execute(() -> {
            dueNs = System.nanoTime();
            tick(rate);
        });
    }

    private void tick(double rate) {
        long now = System.nanoTime();
        while (!stopping && dueNs <= now) {
            send(wish());
            dueNs += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / rate);
        }
        if (!stopping) {
            loop.schedule(() -> tick(rate), Math.max(0, dueNs - now), TimeUnit.NANOSECONDS);
        }
    }

    /** No new requests; returns when all that are open have ended. */
    public void stop() throws InterruptedException {
        loop.submit(() -> stopping = true).syncUninterruptibly();
        for (int i = 0; i < 400 && loop.submit(() -> open).syncUninterruptibly().getNow() > 0; i++) {
            Thread.sleep(20);
        }
        loop.submit(() -> doors.forEach(door -> door.idle.forEach(each -> each.channel.close()))).syncUninterruptibly();
    }

    /** By class and plan. */
    public Map<String, Count> counts() {
        return loop.submit(() -> new TreeMap<>(counts)).syncUninterruptibly().getNow();
    }

    // ---- Requests ---------------------------------------------------------------------------------------

    /** Customers of a plan differ: a few ask for most of it, one for more than it has. */
    private Wish wish() {
        SiteSettings.RequestClass kind = settings.classes().get(random.nextInt(10) < 6 ? 0
                : Math.min(1, settings.classes().size() - 1));
        int plan = random.nextInt(settings.plans().size());
        int customer = (int) (40 * random.nextDouble() * random.nextDouble());
        double units = Math.min(SiteSettings.MOST_UNITS, Math.round((0.5 + random.nextDouble()) * 10) / 10.0);
        int spread = Math.max(1, settings.doors() - customer % 2);
        return new Wish(kind, settings.plans().get(plan), String.format("%016x", plan * 1_000 + customer), units, spread,
                customer % settings.doors(), 1);
    }

    private void send(Wish wish) {
        int door = (wish.first() + random.nextInt(wish.spread())) % doors.size();
        String id = String.format("%016x", ++number);
        open++;
        new Try(wish, id, doors.get(door), door).start();
    }

    private Count count(Wish wish) {
        return counts.computeIfAbsent(wish.kind().name() + " " + wish.plan().name(), key -> new Count());
    }

    /** One id, until its answer, its deadline or its loss. */
    private final class Try {
        private final Wish wish;
        private final String id;
        private final Door door;
        private final int number;
        private final long startedAt = System.nanoTime();
        private Connection on;
        private Future<?> timer;
        private boolean over;
        private boolean repeated;

        Try(Wish wish, String id, Door door, int number) {
            this.wish = wish;
            this.id = id;
            this.door = door;
            this.number = number;
        }

        void start() {
            count(wish).sent++;
            long wait = wish.kind().deadlineMs();
            timer = loop.schedule(() -> {
                // The rules' slack is waited for as well, so that an answer in it is seen.
                if (!over) {
                    count(wish).lost++;
                    events.add(new Events.Lost(id, "no answer in its time", System.nanoTime()));
                    end();
                    if (on != null) {
                        on.channel.close();
                    }
                }
            }, wait + Auditor.SLACK_MS, TimeUnit.MILLISECONDS);
            connect(true);
        }

        private void connect(boolean kept) {
            Connection idle = kept ? door.idle.pollLast() : null;
            if (idle != null && idle.channel.isActive()) {
                write(idle);
                return;
            }
            ChannelFuture connecting = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel made) {
                            made.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_ANSWER),
                                    new Connection(door));
                        }
                    }).connect(door.address);
            connecting.addListener(made -> {
                if (over) {
                    connecting.channel().close();
                } else if (made.isSuccess()) {
                    write(connecting.channel().pipeline().get(Connection.class));
                } else {
                    count(wish).lost++;
                    end(); // no front door has it: nothing is owed
                }
            });
        }

        private void write(Connection connection) {
            on = connection;
            connection.carries = this;
            long left = wish.kind().deadlineMs() - (System.nanoTime() - startedAt) / MS;
            boolean unsafe = wish.kind().unsafe();
            String uri = "/api/port?plan=" + wish.plan().name() + "&customer=" + wish.customer() + "&units=" + wish.units();
            byte[] body = unsafe ? ("{\"order\":\"" + id + "\"}").getBytes(StandardCharsets.US_ASCII) : new byte[0];
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                    unsafe ? HttpMethod.POST : HttpMethod.GET, uri, Unpooled.wrappedBuffer(body));
            request.headers().set("Host", "service.internal").set("X-Txn", id).set("X-Lane", wish.kind().name())
                    .set("X-Plan", wish.plan().name()).set("X-Customer", wish.customer())
                    .set("X-Remaining-Ms", Long.toString(Math.max(0, left))).set("X-Quota", String.format(Locale.ROOT,
                            "units=%s,spread=%d,first=%d", wish.units(), wish.spread(), wish.first()));
            if (unsafe) {
                request.headers().set("Content-Length", Integer.toString(body.length));
            }
            if (credentials != null) {
                request.headers().set("Authorization", credentials.apply(id, wish.customer()));
            }
            if (wish.tries() > 1) {
                request.headers().set("X-Resent", "1");
            }
            connection.channel.writeAndFlush(request).addListener(written -> {
                if (written.isSuccess() && !repeated) {
                    events.add(new Events.Sent(id, wish.kind().name(), wish.plan().name(), wish.customer(), wish.units(),
                            number, System.nanoTime(), startedAt + wish.kind().deadlineMs() * MS));
                }
            });
        }

        /** The connection ended with no whole answer. */
        void broken(boolean reused, boolean begun) {
            on = null;
            if (over) {
                return;
            }
            if (reused && !begun && !repeated) {
                repeated = true; // it may have crossed the front door's close between requests
                connect(false);
                return;
            }
            count(wish).lost++;
            events.add(new Events.Lost(id, "its connection ended", System.nanoTime()));
            end();
        }

        void answered(int status, String body, String retryAfter) {
            if (over) {
                return;
            }
            long now = System.nanoTime();
            events.add(new Events.Answered(id, status, body, now));
            Count count = count(wish);
            count.latency.recordValue(Math.min((now - startedAt) / 1_000, 59_000_000));
            if (status == 200) {
                count.served++;
                count.late += now - startedAt > wish.kind().aimMs() * MS ? 1 : 0;
            } else if (status == 429 || status == 503) {
                count.refused++;
                again(retryAfter);
            } else {
                count.failed++;
                if (!wish.kind().unsafe()) {
                    again(retryAfter);
                }
            }
            end();
        }

        private void again(String retryAfter) {
            if (wish.tries() >= MOST_TRIES || stopping) {
                return;
            }
            double wait = 100 * wish.tries() * (1 + random.nextDouble());
            if (retryAfter != null) {
                try {
                    wait = Math.max(wait, Math.min(5_000, Double.parseDouble(retryAfter) * 1_000));
                } catch (NumberFormatException e) {
                    events.add(new Events.Lost(id, "Retry-After is no number", System.nanoTime()));
                }
            }
            Wish next = new Wish(wish.kind(), wish.plan(), wish.customer(), wish.units(), wish.spread(), wish.first(),
                    wish.tries() + 1);
            loop.schedule(() -> {
                if (!stopping) {
                    send(next);
                }
            }, (long) wait, TimeUnit.MILLISECONDS);
        }

        private void end() {
            over = true;
            open--;
            timer.cancel(false);
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Door door;
        private Channel channel;
        private Try carries;
        private int answered;

        Connection(Door door) {
            this.door = door;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext on) {
            channel = on.channel();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext on, FullHttpResponse response) {
            Try mine = carries;
            carries = null;
            answered++;
            if (mine == null || response.decoderResult().isFailure()) {
                if (mine != null) {
                    mine.broken(false, true);
                }
                on.close();
                return;
            }
            boolean keep = HttpUtil.isKeepAlive(response) && mine.on == this && !mine.over;
            mine.answered(response.status().code(), response.content().toString(StandardCharsets.UTF_8),
                    response.headers().get("Retry-After"));
            if (keep) {
                door.idle.addLast(this);
            } else {
                on.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext on) {
            door.idle.remove(this);
            Try mine = carries;
            carries = null;
            if (mine != null) {
                mine.broken(answered > 0, false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            on.close();
        }
    }
}
