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
import nettletrail.core.PendingInput;
import nettletrail.decision.Gateway;

/**
 * Follows discovery: one call at a time, each asking for what is newer than the last answer. Every call has a
 * time-out, for an agent that has lost discovery is silent, and after a fault the next call comes quickly; a watch that
 * seems silent gets a second call beside it. All times are {@link DiscoveryTiming}'s.
 */
public final class DiscoveryClient {
    private static final int MOST_BYTES = 4 << 20;
    private static final int LEAST_WAIT_MS = 1;

    private final EventLoop loop;
    private InetSocketAddress agent;
    private final Endpoint.Listener listener;
    private final Bootstrap bootstrap;
    private Channel channel;
    /** The connection of a watch that seems silent, until its time-out; or null. */
    private Channel overdue;
    private Future<?> timeout;
    private Future<?> overdueTimeout;
    /** When the last call was made, {@link System#nanoTime}. */
    private long calledAt;
    /** A call is open on the connection. */
    private boolean calling;
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
    public DiscoveryClient(EventLoop loop, InetSocketAddress agent, long index, long seed, Endpoint.Listener listener) {
        this.loop = loop;
        this.index = index;
        random = new SplittableRandom(seed);
        this.agent = agent;
        this.listener = listener;
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DiscoveryTiming.CONNECT_MS)
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
    public void switchAgent(InetSocketAddress to) {
        Log.line("discovery: from " + agent + " to " + to);
        agent = to;
        index = -1;
        faults = 0;
        drop();
        dropOverdue();
        poll();
    }

    /** Calls for the whole list, and then for ever for what is newer. */
    public void poll() {
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
        int wait = index < 0 ? 0 : broken ? LEAST_WAIT_MS : DiscoveryTiming.WAIT_MS;
        String path = index < 0 ? "/api/targets" : "/api/targets?index=" + index + "&wait=" + wait;
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        request.headers().set(HttpHeaderNames.HOST, "discovery");
        channel.writeAndFlush(request);
        calledAt = System.nanoTime();
        calling = true;
        if (wait > LEAST_WAIT_MS) {
            timeout = loop.schedule(this::seemsSilent, wait + DiscoveryTiming.GRACE_MS, TimeUnit.MILLISECONDS);
        } else {
            // A machine that is cut off says nothing, and TCP does not tell: without this it would be waited for for ever.
            int most = DiscoveryTiming.ANSWER_MS + wait;
            timeout = loop.schedule(() -> unanswered(most), most, TimeUnit.MILLISECONDS);
        }
    }

    private void unanswered(int mostMs) {
        if (!cameMeanwhile()) {
            broken("no answer in " + mostMs + " ms");
        }
    }

    /** Whether the call that this is the time-out of is over by what lay unread: the loop may be late. */
    private boolean cameMeanwhile() {
        Future<?> mine = timeout;
        readPending();
        return timeout != mine || !calling;
    }

    /**
     * A watch's wait is over and nothing has come: it is silent, or its answer stands in line. It is waited for on, and
     * another connection asks for what there is.
     */
    private void seemsSilent() {
        if (cameMeanwhile()) {
            return;
        }
        dropOverdue();
        overdue = channel;
        channel = null;
        calling = false;
        overdueTimeout = loop.schedule(this::dropOverdue, DiscoveryTiming.ANSWER_MS - DiscoveryTiming.GRACE_MS,
                TimeUnit.MILLISECONDS);
        broken = true;
        faults = 0; // whatever came before it is long ago
        poll();
    }

    /** The answer of a watch that seemed silent: news are news, and the second call goes on by itself. */
    private void answeredOverdue(FullHttpResponse response) {
        if (response.status().code() == 200 && !response.decoderResult().isFailure()) {
            try {
                Map<String, Object> body = read(response);
                long version = version(body);
                if (version >= index && (index >= 0 || whole(body))) {
                    index = version;
                    listener.endpointsUpdated(whole(body), parseEndpoints(body));
                }
            } catch (IOException e) {
                Log.line("discovery: a late answer can't be read: " + e.getClass().getSimpleName());
            }
        }
        dropOverdue();
    }

    private static Map<String, Object> read(FullHttpResponse response) throws IOException {
        return JSON.std.mapFrom((InputStream) new ByteBufInputStream(response.content()));
    }

    private static long version(Map<String, Object> body) {
        return body.get("index") instanceof Number n ? n.longValue() : -1;
    }

    private static boolean whole(Map<String, Object> body) {
        return Boolean.TRUE.equals(body.get("snapshot"));
    }

    private void answered(FullHttpResponse response) {
        timeout.cancel(false);
        calling = false;
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
            long stoodMs = (System.nanoTime() - calledAt) / 1_000_000;
            again("answer " + response.status(), DiscoveryTiming.busyPauseMs(faults, stoodMs, random));
            return;
        }
        dropOverdue(); // it has no more to say than this
        Map<String, Object> body;
        try {
            body = read(response);
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
        index = version(body);
        if (!HttpUtil.isKeepAlive(response)) {
            drop();
        }
        if (!whole(body) && index < held) {
            // Changes up to a version before ours would undo later ones: what holds now only the whole list tells.
            index = -1;
        } else {
            listener.endpointsUpdated(whole(body), parseEndpoints(body));
        }
        poll();
    }

    private void broken(String why) {
        broken = true;
        drop();
        again(why, DiscoveryTiming.silentPauseMs(faults, random));
    }

    /** The connection is of no use any more. In a pause that is no reason for another: the two together could be too long. */
    private void lost(String why) {
        if (!calling && retry != null && !retry.isDone()) {
            close();
        } else {
            broken(why);
        }
    }

    /** Calls again after a pause, on the connection if there still is one. */
    private void again(String why, int pauseMs) {
        if (faults == 0) {
            Log.line("discovery: " + why + "; calling again");
        }
        faults++;
        listener.discoveryFailed();
        retry = loop.schedule(this::poll, pauseMs, TimeUnit.MILLISECONDS);
    }

    private static boolean busy(int status) {
        return status == 503 || status == 429;
    }

    /** Takes in an answer that has come and was not read yet. */
    public void readPending() {
        if (!reading) {
            for (Channel each : new Channel[] {channel, overdue}) {
                if (each != null) {
                    PendingInput.readAll(each);
                }
            }
        }
    }

    private void drop() {
        if (timeout != null) {
            timeout.cancel(false);
        }
        if (retry != null) {
            retry.cancel(false);
        }
        close();
    }

    private void close() {
        Channel old = channel;
        channel = null;
        calling = false;
        if (old != null) {
            old.close();
        }
    }

    private void dropOverdue() {
        Channel old = overdue;
        overdue = null;
        if (old != null) {
            overdueTimeout.cancel(false);
            old.close();
        }
    }

    /** The entries of an answer or of the list that the configuration holds; those that make no sense are left out. */
    public static List<Endpoint> parseEndpoints(Map<?, ?> list) {
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
        Gateway.DiscoveryState state = switch (String.valueOf(entry.get("status"))) {
            case "SERVING" -> Gateway.DiscoveryState.READY;
            case "DELETED" -> Gateway.DiscoveryState.GONE;
            default -> Gateway.DiscoveryState.DRAINING; // a word not known here is no leave to send
        };
        InetSocketAddress address = entry.get("address") instanceof String text ? Endpoint.parseAddress(text) : null;
        if (address == null && state == Gateway.DiscoveryState.READY) {
            Log.line("discovery: " + name + " has no address that can be used");
            state = Gateway.DiscoveryState.DRAINING;
        }
        return new Endpoint(Endpoint.idOf(name), name, address, String.valueOf(entry.get("zone")),
                String.valueOf(entry.get("type")),
                entry.get("group") instanceof Number n ? n.intValue() : 0, state,
                entry.get("weight") instanceof Number n ? n.doubleValue() : 1,
                entry.get("since_ms") instanceof Number n ? n.longValue() : 0);
    }

    private final class AnswerHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (response.status().code() < 200) {
                return;
            }
            reading = true;
            try {
                if (context.channel() == channel && calling) {
                    answered(response);
                } else if (context.channel() == overdue) {
                    answeredOverdue(response);
                }
            } finally {
                reading = false;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            ended(context, "connection ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            ended(context, "fault: " + cause.getMessage());
        }

        private void ended(ChannelHandlerContext context, String why) {
            if (context.channel() == channel) {
                lost(why);
            } else if (context.channel() == overdue) {
                dropOverdue();
            }
        }
    }
}
