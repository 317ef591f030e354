package nettletrail.app;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import nettletrail.app.processes.ChildJvm;
import nettletrail.app.processes.DoorProcesses;
import nettletrail.site.BareRelay;
import nettletrail.site.StandInAgent;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** What the front door adds to a bare relay of the same requests, to backends that answer at once. */
final class MeasureFrontDoor implements Measure.Measurement {
    private static final int RATE = 500;
    private static final int CONNECTIONS = 16;
    private static final int BACKENDS = 4;
    private static final int WARM_S = 3;
    private static final int MOST_S = 3;
    private static final int SLICE_S = 2;
    private static final double MOST_P50_RATIO = 1.5;
    private static final double MOST_CPU_RATIO = 1.25;
    private static final String SETTINGS = """
            {"Balancers":1,"Ceilings":{"ConnIdle":20000000000,"ConnectTimeout":250000000,"MaxAttempts":3},"Dcs":["a"],
             "Discovery":"push","FamilyInfo":{"MostUnits":6},"Flavors":["m1"],
             "Obligations":{"ColdFrom":0.3,"RampTime":5000000000,"OverloadFactor":3.0,"Fall":2000000000},
             "Services":[{"Aim":750000000,"Effect":"free","Name":"order-status"},
                         {"Aim":750000000,"Effect":"single_shot","Name":"order-submit"}],
             "TiersOfService":[{"Name":"standard","PerSecond":1000000,"Burst":1000000}],"Zone":0}""";

    private record Figures(Histogram latency, double cpuUs, double mostPerS, long other) { }

    @Override
    public Measure.Result run(Measure.Options options) throws Exception {
        int rate = options.rate() == 0 ? RATE : options.rate();
        int seconds = Math.min(options.seconds(), 12);
        NioEventLoopGroup group = new NioEventLoopGroup(2);
        Path config = Files.createTempFile("nettletrail-measure", ".json");
        List<Channel> backends = new ArrayList<>();
        try (StandInAgent agent = new StandInAgent(group)) {
            List<String> relayArguments = new ArrayList<>(List.of("bare-relay"));
            for (int i = 0; i < BACKENDS; i++) {
                Channel made = backend(group);
                backends.add(made);
                InetSocketAddress address = (InetSocketAddress) made.localAddress();
                agent.set("s-" + i, address, "SERVING", 0);
                relayArguments.add("127.0.0.1:" + address.getPort());
            }
            Files.writeString(config, "{\"name\":\"n0\",\"discovery\":\"\",\"seed\":\"" + Long.toHexString(options.seed())
                    + "\",\"limits\":{\"sockets\":1024},\"known\":" + agent.list(-1) + ",\"settings\":" + SETTINGS + "}");
            try (ChildJvm relay = new ChildJvm(Map.of(), relayArguments.toArray(String[]::new));
                    ChildJvm door = new ChildJvm(Map.of("EDGE_NAME", "n0", "EDGE_LISTEN", "127.0.0.1:0", "EDGE_DISCOVERY",
                            "127.0.0.1:" + agent.address().getPort(), "EDGE_CONFIG", config.toString()), "serve")) {
                int relayPort = port(relay.await("relay on "));
                int doorPort = port(door.await("n0 listens on "));
                DoorProcesses.awaitReady(new InetSocketAddress(InetAddress.getLoopbackAddress(), doorPort));
                Side first = new Side(relay, new Load(relayPort, options.seed()));
                Side second = new Side(door, new Load(doorPort, options.seed()));
                try {
                    first.warm(rate, options.part(WARM_S));
                    second.warm(rate, options.part(WARM_S));
                    // In turns: the machine's own moods then fall on both alike.
                    for (int slice = 0; slice < seconds; slice += SLICE_S) {
                        first.slice(rate, Math.min(SLICE_S, seconds - slice));
                        second.slice(rate, Math.min(SLICE_S, seconds - slice));
                    }
                    return result(rate, seconds, second.figures(options.part(MOST_S)), first.figures(options.part(MOST_S)));
                } finally {
                    first.load.close();
                    second.load.close();
                }
            }
        } finally {
            backends.forEach(Channel::close);
            Files.deleteIfExists(config);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static Measure.Result result(int rate, int seconds, Figures door, Figures relay) {
        double p50 = door.latency().getValueAtPercentile(50);
        double relayP50 = relay.latency().getValueAtPercentile(50);
        double p50Ratio = Math.round(p50 / relayP50 * 100) / 100.0;
        double cpuRatio = Math.round(door.cpuUs() / relay.cpuUs() * 100) / 100.0;
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("rate_per_s", rate);
        figures.put("connections", CONNECTIONS);
        figures.put("door_p50_us", (long) p50);
        figures.put("relay_p50_us", (long) relayP50);
        figures.put("p50_ratio", p50Ratio);
        figures.put("door_p99_us", door.latency().getValueAtPercentile(99));
        figures.put("relay_p99_us", relay.latency().getValueAtPercentile(99));
        figures.put("door_cpu_us", Math.round(door.cpuUs() * 10) / 10.0);
        figures.put("relay_cpu_us", Math.round(relay.cpuUs() * 10) / 10.0);
        figures.put("cpu_ratio", cpuRatio);
        figures.put("most_per_s", Math.round(door.mostPerS()));
        figures.put("relay_most_per_s", Math.round(relay.mostPerS()));
        figures.put("door_not_served", door.other());
        List<String> broken = new ArrayList<>();
        long due = (long) (rate * 0.9 * seconds);
        if (door.latency().getTotalCount() < due || relay.latency().getTotalCount() < due) {
            broken.add("answered were " + door.latency().getTotalCount() + " and " + relay.latency().getTotalCount()
                    + ", under " + due + ": the load was not what it should be, and the figures say nothing");
        }
        if (p50Ratio > MOST_P50_RATIO) {
            broken.add("p50_ratio is " + p50Ratio + ", over " + MOST_P50_RATIO);
        }
        if (cpuRatio > MOST_CPU_RATIO) {
            broken.add("cpu_ratio is " + cpuRatio + ", over " + MOST_CPU_RATIO);
        }
        return new Measure.Result(figures, broken);
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    private static Channel backend(NioEventLoopGroup group) {
        return new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        made.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(64 << 10),
                                new SimpleChannelInboundHandler<FullHttpRequest>() {
                                    @Override
                                    protected void channelRead0(ChannelHandlerContext on, FullHttpRequest request) {
                                        ByteBuf body = Unpooled.copiedBuffer("served " + request.headers().get("X-Txn"),
                                                StandardCharsets.US_ASCII);
                                        DefaultFullHttpResponse answer = new DefaultFullHttpResponse(
                                                HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body);
                                        answer.headers().set("Content-Length", Integer.toString(body.readableBytes()));
                                        on.writeAndFlush(answer);
                                    }
                                });
                    }
                }).bind(InetAddress.getLoopbackAddress(), 0).syncUninterruptibly().channel();
    }

    /** One of the two that are measured. */
    private static final class Side {
        private final ChildJvm child;
        private final Load load;
        private long cpuNs;
        private long other;

        Side(ChildJvm child, Load load) {
            this.child = child;
            this.load = load;
        }

        /** As fast as it goes first: at a paced rate the compiler would be at work for most of the measured time. */
        void warm(int rate, int seconds) throws Exception {
            load.connect();
            load.flat(seconds);
            load.paced(rate, 1);
            load.disconnect();
            load.take();
            other = load.other;
        }

        void slice(int rate, int seconds) throws Exception {
            load.connect();
            long before = child.cpu().toNanos();
            load.paced(rate, seconds);
            cpuNs += child.cpu().toNanos() - before;
            load.disconnect();
        }

        /** And then as fast as the connections go, for the most that it does a second. */
        Figures figures(int seconds) throws Exception {
            Histogram latency = load.take();
            long notServed = load.other - other;
            load.connect();
            load.flat(seconds);
            load.disconnect();
            return new Figures(latency, cpuNs / 1e3 / Math.max(1, latency.getTotalCount()),
                    load.take().getTotalCount() / (double) seconds, notServed);
        }
    }

    /** Clients on kept connections, one request at a time on each. */
    private static final class Load {
        private final NioEventLoopGroup group = new NioEventLoopGroup(1);
        private final EventLoop loop = group.next();
        private final int port;
        private final ArrayDeque<Client> idle = new ArrayDeque<>();
        private final ArrayDeque<Long> waiting = new ArrayDeque<>();
        private final SplittableRandom random;
        private Histogram latency = new Histogram(60_000_000L, 3);
        private long number;
        private volatile long other;
        private boolean flat;
        private long due;

        Load(int port, long seed) {
            this.port = port;
            random = new SplittableRandom(seed);
        }

        /** A front door closes what has stood for 2 s: each slice has connections of its own, made before it begins. */
        void connect() throws InterruptedException {
            for (int i = 0; i < CONNECTIONS; i++) {
                Client client = new Client();
                new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                        .handler(new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel made) {
                                made.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(64 << 10), client);
                            }
                        }).connect(InetAddress.getLoopbackAddress(), port).sync();
                loop.submit(() -> idle.add(client)).sync();
            }
        }

        void disconnect() throws InterruptedException {
            loop.submit(() -> {
                idle.forEach(each -> each.channel.close());
                idle.clear();
            }).sync();
        }

        void paced(int rate, int seconds) throws Exception {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            loop.submit(() -> {
                due = System.nanoTime();
                tick(rate, end);
            }).sync();
            Thread.sleep(seconds * 1_000L + 100);
        }

        private void tick(int rate, long end) {
            long now = System.nanoTime();
            while (due <= now && due < end) {
                waiting.add(now);
                due += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / rate);
            }
            pump();
            if (due < end) {
                loop.schedule(() -> tick(rate, end), Math.max(0, due - System.nanoTime()), TimeUnit.NANOSECONDS);
            }
        }

        private void pump() {
            while (!idle.isEmpty() && (flat || !waiting.isEmpty())) {
                // Counted from when this loop came to it: its timer's lateness is not the server's, a wait for a
                // connection is.
                idle.poll().send(flat ? System.nanoTime() : waiting.poll());
            }
        }

        void flat(int seconds) throws Exception {
            loop.submit(() -> {
                flat = true;
                pump();
            }).sync();
            Thread.sleep(seconds * 1_000L);
            loop.submit(() -> flat = false).sync();
            Thread.sleep(100);
        }

        Histogram take() throws Exception {
            return loop.submit((Callable<Histogram>) () -> {
                Histogram taken = latency;
                latency = new Histogram(60_000_000L, 3);
                return taken;
            }).get();
        }

        void close() {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }

        private final class Client extends SimpleChannelInboundHandler<FullHttpResponse> {
            private Channel channel;
            private long since;

            @Override
            public void handlerAdded(ChannelHandlerContext on) {
                channel = on.channel();
            }

            void send(long from) {
                since = from;
                boolean unsafe = ++number % 3 == 0;
                DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                        unsafe ? HttpMethod.POST : HttpMethod.GET, "/api/port", Unpooled.EMPTY_BUFFER);
                request.headers().set("Host", "service.internal").set("X-Txn", String.format("%016x", number))
                        .set("X-Lane", unsafe ? "order-submit" : "order-status").set("X-Plan", "standard")
                        .set("X-Customer", String.format("%016x", number % 50)).set("X-Remaining-Ms", "3000")
                        .set("X-Quota", "units=1,spread=1,first=0");
                if (unsafe) {
                    request.headers().set("Content-Length", "0");
                }
                channel.writeAndFlush(request, channel.voidPromise());
            }

            @Override
            protected void channelRead0(ChannelHandlerContext on, FullHttpResponse response) {
                latency.recordValue(Math.min((System.nanoTime() - since) / 1_000, 59_000_000));
                other += response.status().code() == 200 ? 0 : 1;
                idle.add(this);
                pump();
            }
        }
    }

    /** The floor's process. */
    @Command(name = "bare-relay", hidden = true, description = "A bare HTTP relay to backends in turn.")
    static final class Relay implements Callable<Integer> {
        @Parameters(paramLabel = "IP:PORT")
        private List<String> backends;

        @Override
        public Integer call() throws InterruptedException {
            BareRelay relay = new BareRelay(backends.stream().map(each -> new InetSocketAddress(
                    InetAddress.getLoopbackAddress(), port(each))).toList());
            System.out.println("relay on 127.0.0.1:" + relay.port());
            Thread.currentThread().join();
            return 0;
        }
    }
}
