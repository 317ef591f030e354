package nettletrail.introspection;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
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
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An introspection server on a loopback socket. It knows the tokens that it was given and calls all others inactive; callers
 * must prove who they are, in the head or in the form (RFC 6749 section 2.3.1). Delays come from a seed. Faults are set from
 * any thread.
 */
public final class StandInIntrospection implements AutoCloseable {
    private static final int MOST_BODY = 16 << 10;
    private static final String METADATA = "/.well-known/oauth-authorization-server";
    private static final int LARGE = 1 << 20;

    /** What it answers in place of the truth. */
    public enum Fault { NONE, ERROR_500, HTML, LIST, LARGE_ANSWER, HALF_JSON, UNAUTHORIZED }

    private final EventLoop loop;
    private final SplittableRandom random;
    private final String client;
    private final String secret;
    private final ChannelGroup connections;
    private final Map<String, Map<String, Object>> tokens = new HashMap<>();
    private final Map<String, Integer> asked = new HashMap<>();
    private Channel listening;
    private int port;
    private long leastDelayMs;
    private long mostDelayMs;
    private Fault fault = Fault.NONE;
    private boolean gone;
    private String path = "/introspect";
    private String issuer = "";
    private long calls;

    /** @param client the one caller that it knows, with its secret */
    public StandInIntrospection(EventLoopGroup group, String client, String secret, long seed) throws InterruptedException {
        loop = group.next();
        this.client = client;
        this.secret = secret;
        random = new SplittableRandom(seed);
        connections = new DefaultChannelGroup(loop);
        listening = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        if (gone) {
                            made.close();
                            return;
                        }
                        connections.add(made);
                        made.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY), new Asked());
                    }
                }).bind(InetAddress.getLoopbackAddress(), 0).sync().channel();
        port = ((InetSocketAddress) listening.localAddress()).getPort();
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** An active token with these members beside {@code active}. */
    public void grant(String token, Map<String, Object> members) {
        set(it -> {
            Map<String, Object> answer = new LinkedHashMap<>();
            answer.put("active", true);
            answer.putAll(members);
            it.tokens.put(token, answer);
        });
    }

    /** It is not active any more. */
    public void revoke(String token) {
        set(it -> it.tokens.remove(token));
    }

    /** Each answer is late by so much, drawn evenly from the seed. */
    public void delay(long leastMs, long mostMs) {
        set(it -> {
            it.leastDelayMs = leastMs;
            it.mostDelayMs = mostMs;
        });
    }

    public void fault(Fault now) {
        set(it -> it.fault = now);
    }

    /** From now on it is asked there, and tells so in its metadata (RFC 8414), as this issuer. */
    public void moved(String toPath, String asIssuer) {
        set(it -> {
            it.path = toPath;
            it.issuer = asIssuer;
        });
    }

    /** Connections end, and new ones as soon as they are made; until {@link #again}. The port stays its own. */
    public void gone() {
        set(it -> {
            it.gone = true;
            it.connections.close();
        });
    }

    public void again() {
        set(it -> it.gone = false);
    }

    /** Calls that came whole. */
    public long calls() {
        return loop.submit(() -> calls).syncUninterruptibly().getNow();
    }

    /** Calls about this token. */
    public int calls(String token) {
        return loop.submit(() -> asked.getOrDefault(token, 0)).syncUninterruptibly().getNow();
    }

    private void set(Consumer<StandInIntrospection> change) {
        loop.submit(() -> change.accept(this)).syncUninterruptibly();
    }

    @Override
    public void close() {
        listening.close().syncUninterruptibly();
        connections.close().syncUninterruptibly();
    }

    private final class Asked extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext on, FullHttpRequest request) {
            if (request.method().equals(HttpMethod.GET) && request.uri().equals(METADATA) && !issuer.isEmpty()) {
                on.writeAndFlush(made(200, "application/json", json(Map.of("issuer", issuer, "introspection_endpoint",
                        "http://127.0.0.1:" + port + path))));
                return;
            }
            if (!request.uri().equals(path)) {
                on.writeAndFlush(made(404, "text/plain", "not here"));
                return;
            }
            calls++;
            QueryStringDecoder form = new QueryStringDecoder(request.content().toString(StandardCharsets.UTF_8), false);
            String token = first(form, "token");
            asked.merge(token, 1, Integer::sum);
            long delay = leastDelayMs + (mostDelayMs > leastDelayMs ? random.nextLong(mostDelayMs - leastDelayMs) : 0);
            boolean right = request.method().equals(HttpMethod.POST) && "application/x-www-form-urlencoded".equals(
                    request.headers().get(HttpHeaderNames.CONTENT_TYPE));
            DefaultFullHttpResponse answer = !right ? made(400, "application/json", "{\"error\":\"invalid_request\"}")
                    : knows(request, form) && fault != Fault.UNAUTHORIZED ? answer(token)
                    : made(401, "application/json", "{\"error\":\"invalid_client\"}");
            if (delay > 0) {
                on.executor().schedule(() -> on.writeAndFlush(answer), delay, TimeUnit.MILLISECONDS);
            } else {
                on.writeAndFlush(answer);
            }
        }

        private boolean knows(FullHttpRequest request, QueryStringDecoder form) {
            String head = request.headers().get(HttpHeaderNames.AUTHORIZATION);
            if (head != null) {
                return head.equals("Basic " + Base64.getEncoder().encodeToString((client + ":" + secret)
                        .getBytes(StandardCharsets.US_ASCII)));
            }
            return client.equals(first(form, "client_id")) && secret.equals(first(form, "client_secret"));
        }

        private String first(QueryStringDecoder form, String name) {
            List<String> values = form.parameters().get(name);
            return values == null || values.size() != 1 ? "" : values.get(0);
        }

        private DefaultFullHttpResponse answer(String token) {
            return switch (fault) {
                case ERROR_500 -> made(500, "text/plain", "fault");
                case HTML -> made(200, "text/html", "<html><body>active: true</body></html>");
                case LIST -> made(200, "application/json", "[{\"active\":true}]");
                case LARGE_ANSWER -> made(200, "application/json", "{\"active\":true,\"x\":\"" + "y".repeat(LARGE) + "\"}");
                case HALF_JSON -> made(200, "application/json", "{\"active\":tr");
                case NONE, UNAUTHORIZED -> made(200, "application/json", json(tokens.getOrDefault(token,
                        Map.of("active", false))));
            };
        }

        private String json(Map<String, Object> members) {
            try {
                return JSON.std.asString(members);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private DefaultFullHttpResponse made(int status, String type, String body) {
            DefaultFullHttpResponse made = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status),
                    Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
            made.headers().set(HttpHeaderNames.CONTENT_TYPE, type).set(HttpHeaderNames.CONTENT_LENGTH,
                    Integer.toString(made.content().readableBytes()));
            return made;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            on.close();
        }
    }
}
