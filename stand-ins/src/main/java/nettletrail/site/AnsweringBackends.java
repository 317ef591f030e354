package nettletrail.site;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
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
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.ToLongFunction;

/**
 * Thousands of backends of one process, each listening at an address of its own in 127.0.0.0/8, all on one port. They
 * answer each request after a time that its id alone tells, so that two ways to them can be held against each other
 * request by request. Any thread but the loop.
 */
public final class AnsweringBackends implements AutoCloseable {
    private static final int MOST_BODY = 64 << 10;
    private static final int BACKLOG = 16;
    private static final int PORT_TRIES = 5;

    private final EventLoop loop;
    private final ToLongFunction<String> answerNs;
    private final Map<String, Channel> listening = new LinkedHashMap<>();
    private final Map<String, ChannelGroup> connections = new LinkedHashMap<>();
    private final LongAdder accepted = new LongAdder();
    private final LongAdder requests = new LongAdder();
    private int port;

    /**
     * All of them listen when this returns.
     *
     * @param hosts numeric, in 127.0.0.0/8
     * @param answerNs of a request's {@code X-Txn}; called on the loop
     */
    public AnsweringBackends(EventLoop loop, List<String> hosts, ToLongFunction<String> answerNs) {
        this.loop = loop;
        this.answerNs = answerNs;
        for (int i = 1; !listenAll(hosts); i++) {
            if (i == PORT_TRIES) {
                throw new IllegalStateException("no port that is free at all of " + hosts.size() + " addresses");
            }
        }
    }

    private boolean listenAll(List<String> hosts) {
        port = 0;
        for (String host : hosts) {
            if (!up(host)) {
                List.copyOf(listening.keySet()).forEach(this::down);
                return false;
            }
        }
        return true;
    }

    /** The port that all of them listen on. */
    public int port() {
        return port;
    }

    /** Connections accepted so far, at all of them. */
    public long accepted() {
        return accepted.sum();
    }

    /** Requests so far, at all of them. */
    public long requests() {
        return requests.sum();
    }

    /** Listens; false if something else does at this address and port. */
    public boolean up(String host) {
        ChannelGroup open = connections.computeIfAbsent(host, each -> new DefaultChannelGroup(loop));
        var bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        accepted.increment();
                        open.add(made);
                        made.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY), new Running());
                    }
                }).bind(new InetSocketAddress(host, port)).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            return false;
        }
        port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
        listening.put(host, bound.channel());
        return true;
    }

    /** It dies: its connections break, new ones are refused. */
    public void down(String host) {
        Channel gone = listening.remove(host);
        if (gone != null) {
            gone.close().awaitUninterruptibly();
            connections.get(host).close().awaitUninterruptibly();
        }
    }

    @Override
    public void close() {
        List.copyOf(listening.keySet()).forEach(this::down);
    }

    private final class Running extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext on, FullHttpRequest request) {
            requests.increment();
            String id = request.headers().get("X-Txn");
            on.executor().schedule(() -> {
                ByteBuf body = Unpooled.copiedBuffer("served " + id, StandardCharsets.US_ASCII);
                DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                        id == null ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.OK, body);
                answer.headers().set("Content-Length", Integer.toString(body.readableBytes()));
                on.writeAndFlush(answer, on.voidPromise());
            }, id == null ? 0 : answerNs.applyAsLong(id), TimeUnit.NANOSECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            on.close();
        }
    }
}
