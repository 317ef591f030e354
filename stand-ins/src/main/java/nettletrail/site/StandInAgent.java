package nettletrail.site;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The discovery agent on loopback: the whole list, and watches that wait for what is newer. Any thread. */
public final class StandInAgent implements AutoCloseable {
    /** One row of the list as it is to be: status is SERVING, DRAINING or DELETED, sinceMs Unix time or 0 for long ago. */
    public record Listing(String name, InetSocketAddress address, String zone, String status, long sinceMs) { }

    private record Entry(String address, String zone, String status, long sinceMs, long changedAt) { }

    private record Watch(ChannelHandlerContext on, long index) { }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Channel listening;
    private long index = 1;

    public StandInAgent(EventLoopGroup group) {
        listening = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        made.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 10), new Calls());
                    }
                }).bind(InetAddress.getLoopbackAddress(), 0).syncUninterruptibly().channel();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /**
     * Lists a backend anew or changes its entry.
     *
     * @param status SERVING, DRAINING or DELETED
     * @param sinceMs Unix time of its last start; 0 for long ago
     */
    public void set(String name, InetSocketAddress address, String status, long sinceMs) {
        set(name, address, "a", status, sinceMs);
    }

    /** The same of one that stands in this zone. */
    public void set(String name, InetSocketAddress address, String zone, String status, long sinceMs) {
        setAll(List.of(new Listing(name, address, zone, status, sinceMs)));
    }

    /** Changes all of these entries by one version of the list, so that no watcher sees a part of the change. */
    public synchronized void setAll(List<Listing> listings) {
        index++;
        for (Listing listing : listings) {
            String address = listing.address().getAddress().getHostAddress() + ":" + listing.address().getPort();
            entries.put(listing.name(), new Entry(address, listing.zone(), listing.status(), listing.sinceMs(), index));
        }
        for (Watch watch : List.copyOf(watches)) {
            watches.remove(watch);
            answer(watch.on(), list(watch.index()));
        }
    }

    /** Answers every watch that is open with this text, whatever the list is: for faults; how many there were. */
    public synchronized int say(String text) {
        List<Watch> open = List.copyOf(watches);
        watches.clear();
        open.forEach(watch -> answer(watch.on(), text));
        return open.size();
    }

    /** The list in discovery's form: all of it, or what changed since an index. */
    public synchronized String list(long since) {
        List<String> rows = new ArrayList<>();
        entries.forEach((name, entry) -> {
            if (since < 0 ? !entry.status().equals("DELETED") : entry.changedAt() > since) {
                rows.add("{\"name\":\"" + name + "\",\"address\":\"" + entry.address()
                        + "\",\"zone\":\"" + entry.zone() + "\",\"type\":\"m1\",\"group\":1,\"status\":\"" + entry.status()
                        + "\",\"weight\":1.0,\"since_ms\":" + entry.sinceMs() + "}");
            }
        });
        return "{\"index\":" + index + ",\"snapshot\":" + (since < 0) + ",\"endpoints\":[" + String.join(",", rows) + "]}";
    }

    @Override
    public void close() {
        listening.close().syncUninterruptibly();
    }

    private static void answer(ChannelHandlerContext on, String text) {
        ByteBuf body = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body);
        response.headers().set("Content-Length", Integer.toString(body.readableBytes()));
        on.writeAndFlush(response);
    }

    private synchronized void call(ChannelHandlerContext on, long since, long waitMs) {
        if (since < 0 || since < index || waitMs <= 0) {
            answer(on, list(since));
            return;
        }
        Watch watch = new Watch(on, since);
        watches.add(watch);
        on.executor().schedule(() -> {
            synchronized (this) {
                if (watches.remove(watch)) {
                    answer(on, list(since));
                }
            }
        }, waitMs, TimeUnit.MILLISECONDS);
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext on, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            call(on, number(uri, "index", -1), number(uri, "wait", 0));
        }

        private static long number(QueryStringDecoder uri, String name, long absent) {
            List<String> values = uri.parameters().get(name);
            return values == null ? absent : Long.parseLong(values.get(0));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            on.close();
        }
    }
}
