package nettletrail.site;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
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
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The floor that the front door is measured against: it reads each request whole, sends it to the next backend on a kept
 * connection, and passes the answer back. It decides, checks and defends nothing. One event loop.
 */
public final class BareRelay implements AutoCloseable {
    private static final int MOST_BODY = 64 << 10;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final List<InetSocketAddress> backends;
    private final List<ArrayDeque<Channel>> idle = new ArrayList<>();
    private final Channel listening;
    private int turn;

    public BareRelay(List<InetSocketAddress> backends) {
        this.backends = List.copyOf(backends);
        backends.forEach(each -> idle.add(new ArrayDeque<>()));
        listening = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        made.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY), new Asked());
                    }
                }).bind(InetAddress.getLoopbackAddress(), 0).syncUninterruptibly().channel();
    }

    public int port() {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    @Override
    public void close() {
        listening.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private final class Asked extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext on, FullHttpRequest request) {
            int backend = turn++ % backends.size();
            request.retain();
            Channel kept = idle.get(backend).pollLast();
            if (kept != null) {
                kept.pipeline().get(Answered.class).client = on.channel();
                kept.writeAndFlush(request, kept.voidPromise());
                return;
            }
            Answered answered = new Answered(backend, on.channel());
            new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel made) {
                            made.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_BODY), answered);
                        }
                    }).connect(backends.get(backend)).addListener(made -> {
                        if (made.isSuccess()) {
                            answered.channel.writeAndFlush(request);
                        } else {
                            request.release();
                            on.close();
                        }
                    });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            on.close();
        }
    }

    private final class Answered extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int backend;
        private Channel client;
        private Channel channel;

        Answered(int backend, Channel client) {
            this.backend = backend;
            this.client = client;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext on) {
            channel = on.channel();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext on, FullHttpResponse response) {
            client.writeAndFlush(response.retain(), client.voidPromise());
            idle.get(backend).addLast(channel);
        }

        @Override
        public void channelInactive(ChannelHandlerContext on) {
            idle.get(backend).remove(channel);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            on.close();
        }
    }
}
