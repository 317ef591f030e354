package nettletrail.discovery;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import nettletrail.core.Endpoint;
import nettletrail.core.Log;
import nettletrail.core.Unread;
import nettletrail.decision.Gateway;

/**
 * Follows discovery: one call at a time, each asking for what is newer than the last answer. Every call has a
 * time-out, for an agent that has lost discovery is silent, and after a fault the next call comes quickly.
 */
public final class Discovery {
    /**
     * The call waits so long for news; short, as a broken watch is noticed only when this is over. What a silent watch
     * misses counts as told 6 s after it fell silent: this, the time-out, a pause and a call that is answered at once have
     * to fit well inside that, also on a loop that is late. 3 s leave 0.8 s; 5 s left nothing. Where calls have a price, an idle
     * front door makes one in 3 s instead of one in 5.
     */
    static final int WAIT_MS = 3_000;
    /** The agent is on this machine: a connection that takes longer is none. */
    private static final int CONNECT_MS = 1_000;
    /**
     * An answer later than this is none. Discovery itself gives a call up after 2 s in its line: a front door that
     * gave up sooner left it the work of an answer that nobody heard, and added another call to the line.
     */
    static final int ANSWER_MS = 2_100;
    /**
     * From a fault to the next call: far under the 200 ms after which a new watch would begin. It doubles with each
     * fault and is spread: discovery serves all front doors from one small capacity, and once it had to turn some calls
     * away, all of them calling again every 50 ms kept it turning all of them away for good.
     */
    private static final int FIRST_RETRY_MS = 60;
    /** The most of that while discovery says that it is busy; and while it says nothing, which costs it nothing. */
    private static final int MOST_BUSY_MS = 4_000;
    private static final int MOST_SILENT_MS = 500;
    private static final int MOST_BYTES = 4 << 20;
    private static final int LEAST_WAIT_MS = 1;

    private final EventLoop loop;
    private InetSocketAddress agent;
    private final Endpoint.Listener listener;
    private final Bootstrap bootstrap;
    private Channel channel;
    private Future<?> timeout;
    private Future<?> retry;
    private long index;
    private final SplittableRandom random;
    private int faults;
    /** Since the last answer the connection broke, or a call was not answered. */
    private boolean broken;
    /** An answer is being taken in: its decoder is on the stack. */
    private boolean reading;

    /**
     * @param index the version of the list that is held already, or below 0 for none
     * @param seed of what spreads the calls after a fault: each front door's own
     */
    public Discovery(EventLoop loop, InetSocketAddress agent, long index, long seed, Endpoint.Listener listener) {
        this.loop = loop;
        this.index = index;
        random = new SplittableRandom(seed);
        this.agent = agent;
        this.listener = listener;
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        made.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_BYTES),
                                new AnswerHandler());
                    }
                });
    }

    /**
     * Goes over to another agent: the old one's connection is dropped, and the whole list asked for, as versions
     * of one agent say nothing to the other. What was listed so far stays in force until then.
     */
    public void move(InetSocketAddress to) {
        Log.line("discovery: from " + agent + " to " + to);
        agent = to;
        index = -1;
        faults = 0;
        drop();
        follow();
    }

    /** Calls for the whole list, and then for ever for what is newer. */
    public void follow() {
        if (channel != null) {
            call();
            return;
        }
        ChannelFuture connecting = bootstrap.connect(agent);
        channel = connecting.channel();
        connecting.addListener(done -> {
            if (connecting.channel() != channel) {
                return;
            }
            if (done.isSuccess()) {
                call();
            } else {
                broken("no connection: " + done.cause().getMessage());
            }
        });
    }

    private void call() {
        // The first call after a break asks for what there is and waits for nothing: one that is silent too is told from one
        // that has no news, and given up so much sooner.
        int wait = index < 0 ? 0 : broken ? LEAST_WAIT_MS : WAIT_MS;
        String path = index < 0 ? "/api/targets" : "/api/targets?index=" + index + "&wait=" + wait;
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        request.headers().set(HttpHeaderNames.HOST, "discovery");
        channel.writeAndFlush(request);
        // A machine that is cut off says nothing, and TCP does not tell: without this the watch hangs for ever.
        long most = ANSWER_MS + wait;
        timeout = loop.schedule(() -> broken("no answer in " + most + " ms"), most, TimeUnit.MILLISECONDS);
    }

    private void answered(FullHttpResponse response) {
        timeout.cancel(false);
        broken = false;
        if (response.status().code() != 200 || response.decoderResult().isFailure()) {
            // Unless it is only busy, it may no longer know our version: ask for the whole list, which costs it more.
            if (!busy(response.status().code())) {
                index = -1;
                broken("answer " + response.status());
                return;
            }
            if (!HttpUtil.isKeepAlive(response)) {
                drop();
            }
            again("answer " + response.status(), MOST_BUSY_MS);
            return;
        }
        Map<String, Object> body;
        try {
            body = JSON.std.mapFrom((InputStream) new ByteBufInputStream(response.content()));
        } catch (IOException e) {
            index = -1;
            broken("answer can't be read: " + e.getClass().getSimpleName());
            return;
        }
        if (faults > 0) {
            faults = 0;
            Log.line("discovery: back");
        }
        long held = index;
        index = body.get("index") instanceof Number n ? n.longValue() : -1;
        if (!HttpUtil.isKeepAlive(response)) {
            drop();
        }
        boolean whole = Boolean.TRUE.equals(body.get("snapshot"));
        if (!whole && index < held) {
            // Changes up to a version before ours would undo later ones: what holds now only the whole list tells.
            index = -1;
        } else {
            listener.listed(whole, entries(body));
        }
        follow();
    }

    private void broken(String why) {
        broken = true;
        drop();
        again(why, MOST_SILENT_MS);
    }

    /** Calls again after a pause, on the connection if there still is one. */
    private void again(String why, int mostMs) {
        if (faults == 0) {
            Log.line("discovery: " + why + "; calling again");
        }
        listener.listFailed();
        retry = loop.schedule(this::follow, pauseMs(faults++, mostMs, random), TimeUnit.MILLISECONDS);
    }

    private static boolean busy(int status) {
        return status == 503 || status == 429;
    }

    /**
     * From a fault to the next call, ms, after so many faults in a row before it; at most as given. Half of it is left to chance, or
     * those that were turned away together would come back together.
     */
    static int pauseMs(int faultsBefore, int mostMs, SplittableRandom random) {
        int full = Math.min(mostMs, FIRST_RETRY_MS << Math.min(faultsBefore, 16));
        return full / 2 + random.nextInt(full / 2 + 1);
    }

    /** Takes in an answer that has come and was not read yet. */
    public void look() {
        if (channel != null && !reading) {
            Unread.take(channel);
        }
    }

    private void drop() {
        if (timeout != null) {
            timeout.cancel(false);
        }
        if (retry != null) {
            retry.cancel(false);
        }
        Channel old = channel;
        channel = null;
        if (old != null) {
            old.close();
        }
    }

    /** The entries of an answer or of the list that the configuration holds; those that make no sense are left out. */
    public static List<Endpoint> entries(Map<?, ?> list) {
        List<Endpoint> entries = new ArrayList<>();
        if (list.get("endpoints") instanceof List<?> rows) {
            for (Object row : rows) {
                if (row instanceof Map<?, ?> entry && entry.get("name") instanceof String name) {
                    entries.add(endpoint(name, entry));
                } else {
                    Log.line("discovery: an entry without a name is left out");
                }
            }
        }
        return entries;
    }

    private static Endpoint endpoint(String name, Map<?, ?> entry) {
        Gateway.State state = switch (String.valueOf(entry.get("status"))) {
            case "SERVING" -> Gateway.State.READY;
            case "DELETED" -> Gateway.State.GONE;
            default -> Gateway.State.DRAINING; // a word not known here is no leave to send
        };
        InetSocketAddress address = entry.get("address") instanceof String text ? Endpoint.address(text) : null;
        if (address == null && state == Gateway.State.READY) {
            Log.line("discovery: " + name + " has no address that can be used");
            state = Gateway.State.DRAINING;
        }
        return new Endpoint(Endpoint.id(name), name, address, String.valueOf(entry.get("zone")), String.valueOf(entry.get("type")),
                entry.get("group") instanceof Number n ? n.intValue() : 0, state,
                entry.get("weight") instanceof Number n ? n.doubleValue() : 1,
                entry.get("since_ms") instanceof Number n ? n.longValue() : 0);
    }

    private final class AnswerHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (context.channel() == channel && response.status().code() >= 200) {
                reading = true;
                try {
                    answered(response);
                } finally {
                    reading = false;
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (context.channel() == channel) {
                broken("connection ended");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (context.channel() == channel) {
                broken("fault: " + cause.getMessage());
            }
        }
    }
}
