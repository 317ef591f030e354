package nettletrail.app;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.core.AttemptTransport;
import nettletrail.core.Dispatcher;
import nettletrail.core.Endpoint;
import nettletrail.core.Frontend;
import nettletrail.core.Log;

/** Where a running front door answers its operators: JSON over HTTP, on loopback only. Takes no requests on. */
class ControlFront implements Frontend {
    private static final int MOST_REQUEST = 1 << 16;

    private final EventLoopGroup group;
    private final InetSocketAddress listen;
    private final Desk desk;
    private Channel listening;

    ControlFront(EventLoopGroup group, InetSocketAddress listen, Desk desk) {
        this.group = group;
        this.listen = listen;
        this.desk = desk;
    }

    private static final class NoCarrier implements AttemptTransport {
        @Override
        public void endpointsUpdated(boolean whole, List<Endpoint> entries) { }

        @Override
        public StartedAttempt start(nettletrail.core.BackendAttempt attempt) {
            throw new IllegalStateException("no request comes in here");
        }
    }

    @Override
    public AttemptTransport attemptTransport() {
        return new NoCarrier();
    }

    @Override
    public void open(Dispatcher dispatcher) throws IOException {
        ChannelFuture bound = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        made.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_REQUEST), new Asked());
                    }
                }).bind(listen).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("control.listen: can't listen on " + listen + ": " + bound.cause().getMessage());
        }
        listening = bound.channel();
        InetSocketAddress at = (InetSocketAddress) listening.localAddress();
        Log.line("control listens on " + at.getAddress().getHostAddress() + ":" + at.getPort());
    }

    private final class Asked extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext on, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            String path = uri.path().substring(Math.min(1, uri.path().length()));
            Desk.Clerk clerk = desk.clerk(path);
            if (clerk == null) {
                answer(on, HttpResponseStatus.NOT_FOUND, Map.of("sorry", "'" + path + "' is none of " + desk.paths()));
                return;
            }
            Map<String, String> asked = new LinkedHashMap<>();
            uri.parameters().forEach((name, values) -> asked.put(name, values.get(0)));
            clerk.asked(asked, said -> {
                if (said instanceof Desk.Sorry sorry) {
                    answer(on, HttpResponseStatus.CONFLICT, Map.of("sorry", sorry.why()));
                } else {
                    answer(on, HttpResponseStatus.OK, said);
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            on.close();
        }
    }

    private static void answer(ChannelHandlerContext on, HttpResponseStatus status, Object said) {
        try {
            byte[] body = (JSON.std.asString(said) + "\n").getBytes(StandardCharsets.UTF_8);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                    Unpooled.wrappedBuffer(body));
            response.headers().set("Content-Type", "application/json").set("Content-Length", body.length)
                    .set("Connection", "close");
            on.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        } catch (IOException e) {
            on.close();
        }
    }

    @Override
    public void drain() { }

    @Override
    public boolean drained() {
        return true;
    }

    @Override
    public void close() {
        if (listening != null) {
            listening.close();
        }
    }
}
