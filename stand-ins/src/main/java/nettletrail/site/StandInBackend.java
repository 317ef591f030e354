package nettletrail.site;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** A backend on loopback: it runs each request that comes whole, notes it in the ledger, and answers after a time. */
public final class StandInBackend implements AutoCloseable {
    /**
     * How it behaves.
     *
     * @param meanMs of the time that a request takes, exponential
     * @param errorShare of requests answered with 500 after they ran
     * @param resetShare of requests whose connection is reset after they ran
     * @param turnedAwayShare of requests not begun
     * @param silentShare of requests that run and are never answered
     */
    public record Manner(double meanMs, double errorShare, double resetShare, double turnedAwayShare,
            double silentShare) {
        /** Answers all, in this time. */
        public static Manner good(double meanMs) {
            return new Manner(meanMs, 0, 0, 0, 0);
        }
    }

    private static final int MOST_BODY = 64 << 10;

    private final String name;
    private final Ledger ledger;
    private final SplittableRandom random;
    private final Channel listening;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private volatile Manner manner;

    public StandInBackend(String name, EventLoopGroup group, Ledger ledger, Manner manner, long seed) {
        this.name = name;
        this.ledger = ledger;
        this.manner = manner;
        random = new SplittableRandom(seed);
        listening = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        connections.add(made);
                        made.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY),
                                new Running());
                    }
                }).bind(InetAddress.getLoopbackAddress(), 0).syncUninterruptibly().channel();
    }

    public String name() {
        return name;
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    public void manner(Manner now) {
        manner = now;
    }

    /** It dies: connections break, new ones are refused. */
    @Override
    public void close() {
        listening.close().syncUninterruptibly();
        connections.close().awaitUninterruptibly();
    }

    private synchronized double draw() {
        return random.nextDouble();
    }

    private final class Running extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext on, FullHttpRequest request) {
            String id = request.headers().get("X-Txn");
            if (id == null || request.decoderResult().isFailure()) {
                answer(on, id == null ? 404 : 400, "", false);
                return;
            }
            Manner how = manner;
            if (draw() < how.turnedAwayShare()) {
                answer(on, 503, "", true);
                return;
            }
            ledger.ran(new Ledger.Run(id, request.method().equals(HttpMethod.POST),
                    String.valueOf(request.headers().get("X-Plan")), String.valueOf(request.headers().get("X-Customer")),
                    units(request.headers().get("X-Quota")), System.nanoTime(), name));
            long took = (long) (-how.meanMs() * 1e6 * Math.log(1 - draw()));
            double fate = draw();
            on.executor().schedule(() -> {
                if (fate < how.silentShare()) {
                    return;
                }
                if (fate < how.silentShare() + how.resetShare()) {
                    ((SocketChannel) on.channel()).config().setSoLinger(0);
                    on.close();
                } else {
                    boolean error = fate < how.silentShare() + how.resetShare() + how.errorShare();
                    answer(on, error ? 500 : 200, id, false);
                }
            }, took, TimeUnit.NANOSECONDS);
        }

        private void answer(ChannelHandlerContext on, int status, String body, boolean turnedAway) {
            ByteBuf content = Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status), content);
            response.headers().set("Content-Length", Integer.toString(content.readableBytes()));
            if (turnedAway) {
                response.headers().set("X-Turned-Away", "1");
            }
            on.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            on.close();
        }
    }

    private static double units(String quota) {
        if (quota == null) {
            return 1;
        }
        for (String pair : quota.split(",")) {
            if (pair.strip().startsWith("units=")) {
                return Double.parseDouble(pair.strip().substring(6));
            }
        }
        return 1;
    }
}
