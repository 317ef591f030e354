package nettletrail.proxy;

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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A proxy's way to nodes: one request at a time on a connection, kept ones first. On one event loop. */
final class NodeClient {
    /** How a request to a node went. */
    interface Done {
        /** Answered: status, and whether the node says that it has not begun the request. */
        void answered(int status, boolean turnedAway);

        /** No answer; the details are those that Envoy gives with its own. */
        void broken(int status, String details);
    }

    private static final int MOST_ANSWER = 1 << 20;
    /** Requests at once to one node; what comes beyond is answered at once, as a proxy's circuit breaker does. */
    private static final int MOST_AT_ONCE = 96;

    private final EventLoop loop;
    private final Map<InetSocketAddress, ArrayDeque<Channel>> idle = new HashMap<>();
    private final Map<InetSocketAddress, Integer> atOnce = new HashMap<>();

    NodeClient(EventLoop loop) {
        this.loop = loop;
    }

    /** Returns what gives the request up. */
    Runnable send(InetSocketAddress node, StandInProxy.Request request, long remainingMs, Done done) {
        int out = atOnce.getOrDefault(node, 0);
        if (out >= MOST_AT_ONCE) {
            loop.execute(() -> done.broken(503, "upstream_reset_before_response_started{overflow}"));
            return () -> { };
        }
        atOnce.put(node, out + 1);
        One one = new One(request, remainingMs, done, node);
        Channel kept = idle.computeIfAbsent(node, key -> new ArrayDeque<>()).pollLast();
        if (kept != null && kept.isActive()) {
            kept.pipeline().replace(Answers.class, "answers", one.handler());
            one.carry(kept);
        } else {
            var connecting = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 250)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel made) {
                            made.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_ANSWER),
                                    one.handler());
                        }
                    }).connect(node);
            one.channel = connecting.channel();
            connecting.addListener(made -> {
                if (made.isSuccess()) {
                    one.carry(connecting.channel());
                } else {
                    one.end(() -> done.broken(503, "upstream_reset_before_response_started{connection_failure}"));
                }
            });
        }
        one.timer = loop.schedule(() -> {
            one.end(() -> done.broken(504, "response_timeout"));
            one.channel.close();
        }, remainingMs, TimeUnit.MILLISECONDS);
        return () -> one.end(() -> one.channel.close());
    }

    private final class One {
        private final StandInProxy.Request request;
        private final long remainingMs;
        private final Done done;
        private final InetSocketAddress node;
        private Channel channel;
        private java.util.concurrent.Future<?> timer;
        private boolean over;

        One(StandInProxy.Request request, long remainingMs, Done done, InetSocketAddress node) {
            this.request = request;
            this.remainingMs = remainingMs;
            this.done = done;
            this.node = node;
        }

        Answers handler() {
            return new Answers(this);
        }

        void carry(Channel on) {
            channel = on;
            if (over) {
                on.close();
                return;
            }
            DefaultFullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(request.method()), "/api/port", Unpooled.EMPTY_BUFFER);
            request.headers().forEach((name, value) -> {
                if (name.startsWith("x-")) {
                    message.headers().set(name, value);
                }
            });
            message.headers().set("Host", "service.internal").set("X-Remaining-Ms", Long.toString(remainingMs));
            if (request.unsafe()) {
                message.headers().set("Content-Length", "0");
            }
            on.writeAndFlush(message);
        }

        void end(Runnable then) {
            if (!over) {
                over = true;
                atOnce.merge(node, -1, Integer::sum);
                if (timer != null) {
                    timer.cancel(false);
                }
                then.run();
            }
        }
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final One one;

        Answers(One one) {
            this.one = one;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext on, FullHttpResponse response) {
            int status = response.status().code();
            boolean turnedAway = "1".equals(response.headers().get("X-Turned-Away"));
            if (HttpUtil.isKeepAlive(response) && !one.over) {
                idle.get(one.node).addLast(on.channel());
            } else {
                on.close();
            }
            one.end(() -> one.done.answered(status, turnedAway));
        }

        @Override
        public void channelInactive(ChannelHandlerContext on) {
            ArrayDeque<Channel> kept = idle.get(one.node);
            if (kept != null) {
                kept.remove(on.channel());
            }
            one.end(() -> one.done.broken(503, "upstream_reset_before_response_started{connection_termination}"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            on.close();
        }
    }
}
