package nettletrail.site;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
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
import io.netty.util.concurrent.Future;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Discovery for many front doors on loopback: the whole list, and watches that wait for what is newer. Answers are made
 * once for all watchers that stand at the same version. While down it says nothing: calls that come then, and those that
 * were open, are never answered. Counts its bytes, calls and answers. Its state is used on the one loop; the methods may
 * be called by any thread, and what they change is in force when the loop gets to it, in the order of the calls.
 */
public final class StandInDiscovery implements AutoCloseable {
    /** One row of the list; status is SERVING, DRAINING or DELETED, sinceMs Unix time or 0 for long ago. */
    public record Entry(String name, String address, String zone, String type, int group, String status, long sinceMs) {
        String json() {
            return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone + "\",\"type\":\"" + type
                    + "\",\"group\":" + group + ",\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + "}";
        }
    }

    /** What was counted since the start: bytes as they pass between socket and codec; whole lists told; watches open. */
    public record Counts(long bytesIn, long bytesOut, long calls, long wholeLists, long watches, long index) { }

    private record Row(String json, boolean deleted) { }

    private static final class Watch {
        private final Channel on;
        private final long since;
        private Future<?> over;

        Watch(Channel on, long since) {
            this.on = on;
            this.since = since;
        }
    }

    /** So many of the latest changes are kept; who stands further behind is told the whole list. */
    private static final int MOST_CHANGES = 4_096;
    private static final long MOST_WAIT_MS = 60_000;

    private final EventLoop loop;
    private final Channel listening;
    private final Map<String, Row> rows = new LinkedHashMap<>();
    /** By version, the names that changed with it. */
    private final TreeMap<Long, List<String>> changes = new TreeMap<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    /** Answers of the present version, by the version that was asked from. */
    private final Map<Long, ByteBuf> answers = new LinkedHashMap<>();
    private long index = 1;
    private boolean down;
    private long bytesIn;
    private long bytesOut;
    private long calls;
    private long wholeLists;

    /** Listens on a port of its own; version 1 is this list. */
    public StandInDiscovery(EventLoop loop, List<Entry> list) {
        this.loop = loop;
        list.forEach(each -> rows.put(each.name(), new Row(each.json(), each.status().equals("DELETED"))));
        listening = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(io.netty.channel.ChannelOption.SO_BACKLOG, 1_024)
                .childOption(io.netty.channel.ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        made.pipeline().addLast(new Counting(), new HttpServerCodec(), new HttpObjectAggregator(1 << 10),
                                new Calls());
                    }
                }).bind(InetAddress.getLoopbackAddress(), 0).syncUninterruptibly().channel();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** One version further, with all these entries changed by it; who watches is told. */
    public void change(List<Entry> changed) {
        List<Entry> copy = List.copyOf(changed);
        loop.execute(() -> {
            index++;
            List<String> names = new ArrayList<>();
            copy.forEach(each -> {
                rows.put(each.name(), new Row(each.json(), each.status().equals("DELETED")));
                names.add(each.name());
            });
            changes.put(index, names);
            if (changes.size() > MOST_CHANGES) {
                changes.pollFirstEntry();
            }
            answers.clear();
            if (!down) {
                List<Watch> open = List.copyOf(watches);
                watches.clear();
                open.forEach(this::answer);
            }
        });
    }

    /** From now on it is silent, or answers again. */
    public void down(boolean now) {
        loop.execute(() -> {
            down = now;
            if (now) {
                watches.forEach(each -> each.over.cancel(false));
                watches.clear();
            }
        });
    }

    /** Any thread but the loop. */
    public Counts counts() {
        return loop.submit(() -> new Counts(bytesIn, bytesOut, calls, wholeLists, watches.size(), index))
                .syncUninterruptibly().getNow();
    }

    @Override
    public void close() {
        listening.close().syncUninterruptibly();
    }

    private void call(Channel on, long since, long waitMs) {
        calls++;
        if (down) {
            return;
        }
        Watch watch = new Watch(on, since);
        if (since < 0 || since != index || waitMs <= 0) {
            answer(watch);
            return;
        }
        watches.add(watch);
        watch.over = loop.schedule(() -> {
            if (watches.remove(watch)) {
                answer(watch);
            }
        }, Math.min(waitMs, MOST_WAIT_MS), TimeUnit.MILLISECONDS);
    }

    private void answer(Watch watch) {
        if (watch.over != null) {
            watch.over.cancel(false);
        }
        boolean known = watch.since >= 0 && watch.since <= index
                && (watch.since == index || !changes.isEmpty() && changes.firstKey() <= watch.since + 1);
        wholeLists += known ? 0 : 1;
        ByteBuf body = answers.computeIfAbsent(known ? watch.since : -1, this::list);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                body.retainedDuplicate());
        response.headers().set("Content-Length", Integer.toString(body.readableBytes()));
        watch.on.writeAndFlush(response, watch.on.voidPromise());
    }

    private ByteBuf list(long since) {
        StringBuilder text = new StringBuilder("{\"index\":").append(index).append(",\"snapshot\":").append(since < 0)
                .append(",\"endpoints\":[");
        int before = text.length();
        if (since < 0) {
            rows.values().forEach(each -> text.append(each.deleted() ? "" : each.json() + ","));
        } else {
            Set<String> names = new LinkedHashSet<>();
            changes.tailMap(since, false).values().forEach(names::addAll);
            names.forEach(each -> text.append(rows.get(each).json()).append(','));
        }
        text.setLength(Math.max(before, text.length() - (text.length() > before ? 1 : 0)));
        return Unpooled.unreleasableBuffer(Unpooled.copiedBuffer(text.append("]}"), StandardCharsets.UTF_8));
    }

    /** First in the pipeline: all bytes of a connection, as they pass to and from its socket. */
    private final class Counting extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext on, Object message) {
            bytesIn += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
            on.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext on, Object message, ChannelPromise promise) {
            bytesOut += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
            on.write(message, promise);
        }
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext on, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            call(on.channel(), number(uri, "index", -1), number(uri, "wait", 0));
        }

        private static long number(QueryStringDecoder uri, String name, long absent) {
            List<String> values = uri.parameters().get(name);
            return values == null ? absent : Long.parseLong(values.get(0));
        }

        @Override
        public void channelInactive(ChannelHandlerContext on) {
            watches.removeIf(each -> {
                if (each.on == on.channel()) {
                    each.over.cancel(false);
                    return true;
                }
                return false;
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            on.close();
        }
    }
}
