package nettletrail.tokens;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;
import nettletrail.core.Log;
import nettletrail.http.RequestDecoder;
import nettletrail.http.RequestHeadValidator;

/**
 * Where the authority pushes what it revoked (RFC 8935): one signed event a request, 202 for one that was taken, 400 with an
 * {@code err} and a {@code description} for others. Taken again, an event changes nothing more, so none need be remembered.
 * On the event loop.
 */
final class Revocations implements AutoCloseable {
    /** Where events are posted. */
    static final String PATH = "/v1/revocations";
    private static final String CONTENT_TYPE = "application/secevent+jwt";
    private static final int MOST_BODY = 16 << 10;
    private static final int MOST_CALLERS = 16;
    private static final int MOST_SILENCE_S = 10;

    private final TrustedKeys keys;
    private final String issuer;
    private final String audience;
    private final Consumer<String> revoked;
    private final ChannelGroup callers;
    private final Channel listening;

    /**
     * @param revoked told of each token that is no longer good, on the loop
     * @throws IllegalArgumentException if the address can't be listened on
     */
    Revocations(EventLoop loop, InetSocketAddress listen, TrustedKeys keys, String issuer, String audience,
            Consumer<String> revoked) {
        this.keys = keys;
        this.issuer = issuer;
        this.audience = audience;
        this.revoked = revoked;
        callers = new DefaultChannelGroup(loop);
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        if (callers.size() >= MOST_CALLERS) {
                            made.close();
                            return;
                        }
                        callers.add(made);
                        made.pipeline().addLast(new ReadTimeoutHandler(MOST_SILENCE_S), new RequestDecoder(), new HttpResponseEncoder(),
                                new HttpObjectAggregator(MOST_BODY, true), new Told());
                    }
                }).bind(listen).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalArgumentException("tokens.revocations_listen: can't listen on " + listen + ": "
                    + bound.cause().getMessage() + "; name an address of this machine that is free");
        }
        listening = bound.channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    @Override
    public void close() {
        listening.close();
        callers.close();
    }

    private final class Told extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext on, FullHttpRequest request) {
            RequestHeadValidator.HeadError fault = RequestHeadValidator.findError(request);
            if (fault != null) {
                answer(on, fault.status().code(), "invalid_request", fault.message());
                return;
            }
            if (!request.uri().equals(PATH) || !request.method().equals(HttpMethod.POST)) {
                answer(on, 404, "invalid_request", "there is POST " + PATH);
                return;
            }
            String type = request.headers().get(HttpHeaderNames.CONTENT_TYPE);
            if (type == null || !type.split(";", 2)[0].strip().equalsIgnoreCase(CONTENT_TYPE)) {
                answer(on, 400, "invalid_request", "the body must be " + CONTENT_TYPE);
                return;
            }
            try {
                RevocationEvent event = RevocationEvent.read(request.content().toString(StandardCharsets.US_ASCII).strip(), keys,
                        issuer, audience);
                revoked.accept(event.token());
                answer(on, 202, "", "");
            } catch (RevocationEvent.Refused e) {
                Log.line("tokens: a revocation is not taken: " + e.code() + ": " + e.getMessage());
                answer(on, 400, e.code(), e.getMessage());
            }
        }

        private void answer(ChannelHandlerContext on, int status, String code, String why) {
            String body = "";
            try {
                body = code.isEmpty() ? "" : JSON.std.asString(Map.of("err", code, "description", why));
            } catch (IOException e) {
                Log.line("tokens: an answer can't be written", e);
            }
            DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status),
                    Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(answer.content().readableBytes()))
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            ChannelFuture written = on.writeAndFlush(answer);
            if (status == 404 || "invalid_request".equals(code)) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            on.close();
        }
    }
}
