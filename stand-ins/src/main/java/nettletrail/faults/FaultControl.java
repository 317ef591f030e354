package nettletrail.faults;

import com.fasterxml.jackson.jr.ob.JSON;
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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The relays' control over HTTP, in the shape that users of the public fault relays know: {@code /proxies},
 * {@code /proxies/NAME/toxics}, {@code /reset}; and {@code /proxies/NAME/events} for what was done.
 */
public final class FaultControl implements AutoCloseable {
    private static final int MOST_BODY = 64 << 10;
    private static final int MOST_PROXIES = 256;

    /** What goes wrong at the caller's side, with its status. */
    private static final class Wrong extends Exception {
        private static final long serialVersionUID = 1L;
        private final int status;

        Wrong(int status, String message) {
            super(message);
            this.status = status;
        }
    }

    private record Answer(int status, Object body) { }

    private final EventLoopGroup group;
    private final FaultLog log;
    private final long seed;
    private final Map<String, FaultRelay> relays = new ConcurrentSkipListMap<>();
    /** Calls wait for relays' event loops, so they must not run on one. */
    private final ExecutorService calls = Executors.newSingleThreadExecutor(run -> {
        Thread thread = new Thread(run, "fault control");
        thread.setDaemon(true);
        return thread;
    });
    private final Channel listening;

    /** @param listen port 0 for any */
    public FaultControl(EventLoopGroup group, InetSocketAddress listen, long seed, FaultLog log) {
        this.group = group;
        this.seed = seed;
        this.log = log;
        var binding = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        made.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY, true),
                                new Calls());
                    }
                }).bind(listen).awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw new IllegalArgumentException("control: can't listen on " + listen + ": "
                    + binding.cause().getMessage() + "; name an address of this machine that is free");
        }
        listening = binding.channel();
    }

    /** Puts a relay under this control. */
    public void add(FaultRelay relay) {
        relays.put(relay.name(), relay);
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    @Override
    public void close() {
        listening.close().awaitUninterruptibly();
        relays.values().forEach(FaultRelay::close);
        calls.shutdownNow();
    }

    // ---- What can be asked ------------------------------------------------------------------------------

    private Answer call(String method, String[] path, String body) throws Wrong {
        if (path.length == 1 && path[0].equals("reset") && method.equals("POST")) {
            relays.values().forEach(FaultRelay::reset);
            return new Answer(204, null);
        }
        if (path.length == 0 || !path[0].equals("proxies") || path.length > 4) {
            throw new Wrong(404, "there is /proxies, /proxies/NAME, /proxies/NAME/toxics, /proxies/NAME/toxics/TOXIC, "
                    + "/proxies/NAME/events and /reset");
        }
        if (path.length == 1) {
            return switch (method) {
                case "GET" -> {
                    Map<String, Object> all = new LinkedHashMap<>();
                    relays.forEach((name, relay) -> all.put(name, json(relay)));
                    yield new Answer(200, all);
                }
                case "POST" -> new Answer(201, json(make(object(body))));
                default -> throw new Wrong(405, "GET or POST");
            };
        }
        FaultRelay relay = relays.get(path[1]);
        if (relay == null) {
            throw new Wrong(404, "no proxy of that name; there are " + relays.keySet());
        }
        if (path.length == 2) {
            return switch (method) {
                case "GET" -> new Answer(200, json(relay));
                case "DELETE" -> {
                    relays.remove(path[1]).close();
                    yield new Answer(204, null);
                }
                default -> throw new Wrong(405, "GET or DELETE");
            };
        }
        if (path[2].equals("events") && path.length == 3 && method.equals("GET")) {
            return new Answer(200, relay.log().events().stream().filter(event -> event.relay().equals(relay.name()))
                    .map(FaultLog.Event::json).toList());
        }
        if (!path[2].equals("toxics")) {
            throw new Wrong(404, "there is /toxics and /events");
        }
        return path.length == 3 ? toxics(relay, method, body) : toxic(relay, path[3], method, body);
    }

    private static Answer toxics(FaultRelay relay, String method, String body) throws Wrong {
        return switch (method) {
            case "GET" -> new Answer(200, relay.toxics().stream().map(Toxic::json).toList());
            case "POST" -> {
                Toxic made = toxic(object(body));
                if (relay.toxics().stream().anyMatch(each -> each.name().equals(made.name()))) {
                    throw new Wrong(409, "name: there is a toxic of that name; POST to it to change it");
                }
                relay.add(made);
                yield new Answer(200, made.json());
            }
            default -> throw new Wrong(405, "GET or POST");
        };
    }

    private static Answer toxic(FaultRelay relay, String name, String method, String body) throws Wrong {
        Toxic known = relay.toxics().stream().filter(each -> each.name().equals(name)).findFirst()
                .orElseThrow(() -> new Wrong(404, "no toxic of that name"));
        return switch (method) {
            case "GET" -> new Answer(200, known.json());
            case "POST" -> {
                // What isn't given stays as it is.
                Map<String, Object> json = known.json();
                Map<?, ?> given = object(body);
                given.forEach((key, value) -> json.put(String.valueOf(key), value));
                if (given.get("attributes") instanceof Map<?, ?> some) {
                    Map<String, Object> all = new LinkedHashMap<>(known.attributes());
                    some.forEach((key, value) -> all.put(String.valueOf(key), value));
                    json.put("attributes", all);
                }
                json.put("name", name);
                Toxic changed = toxic(json);
                relay.add(changed);
                yield new Answer(200, changed.json());
            }
            case "DELETE" -> {
                relay.remove(name);
                yield new Answer(204, null);
            }
            default -> throw new Wrong(405, "GET, POST or DELETE");
        };
    }

    private static Toxic toxic(Map<?, ?> json) throws Wrong {
        try {
            return Toxic.of(json);
        } catch (IllegalArgumentException e) {
            throw new Wrong(400, e.getMessage());
        }
    }

    private FaultRelay make(Map<?, ?> json) throws Wrong {
        if (!(json.get("name") instanceof String name) || !name.matches("[A-Za-z0-9_.-]{1,64}")) {
            throw new Wrong(400, "name: must be 1 to 64 letters, digits, '_', '.' or '-'");
        }
        if (relays.containsKey(name) || relays.size() >= MOST_PROXIES) {
            throw new Wrong(409, relays.containsKey(name) ? "name: there is a proxy of that name"
                    : "there are " + MOST_PROXIES + " proxies: delete one first");
        }
        InetSocketAddress listen = json.containsKey("listen") ? address(json, "listen")
                : new InetSocketAddress(java.net.InetAddress.getLoopbackAddress(), 0);
        try {
            FaultRelay made = FaultRelay.start(name, group, listen, address(json, "upstream"), seed, log);
            relays.put(name, made);
            return made;
        } catch (IllegalArgumentException e) {
            throw new Wrong(400, "listen: " + e.getMessage());
        }
    }

    private static InetSocketAddress address(Map<?, ?> json, String key) throws Wrong {
        InetSocketAddress address = address(String.valueOf(json.get(key)));
        if (address == null) {
            throw new Wrong(400, key + ": must be IP:PORT");
        }
        return address;
    }

    /** {@code IP:PORT} of loopback, or null: the relay is for this machine. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        java.net.InetAddress host = colon < 0 ? null
                : io.netty.util.NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        if (host == null || !host.isLoopbackAddress()) {
            return null;
        }
        try {
            return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private static Map<?, ?> object(String body) throws Wrong {
        try {
            return JSON.std.mapFrom(body);
        } catch (IOException e) {
            throw new Wrong(400, "the body is no JSON object");
        }
    }

    private static Map<String, Object> json(FaultRelay relay) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("name", relay.name());
        json.put("listen", text(relay.address()));
        json.put("upstream", text(relay.to()));
        json.put("connections", relay.connections());
        json.put("open", relay.open());
        List<Object> toxics = new ArrayList<>();
        relay.toxics().forEach(toxic -> toxics.add(toxic.json()));
        json.put("toxics", toxics);
        return json;
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext on, FullHttpRequest request) {
            String uri = request.uri();
            int query = uri.indexOf('?');
            String[] path = java.util.Arrays.stream((query < 0 ? uri : uri.substring(0, query)).split("/"))
                    .filter(part -> !part.isEmpty()).toArray(String[]::new);
            String method = request.method().name();
            String body = request.content().toString(StandardCharsets.UTF_8);
            boolean keep = HttpUtil.isKeepAlive(request);
            calls.execute(() -> {
                Answer answer;
                try {
                    answer = call(method, path, body);
                } catch (Wrong e) {
                    answer = new Answer(e.status, Map.of("error", e.getMessage(), "status", e.status));
                }
                write(on, answer, keep);
            });
        }

        private static void write(ChannelHandlerContext on, Answer answer, boolean keep) {
            String text = "";
            try {
                text = answer.body() == null ? "" : JSON.std.asString(answer.body()) + "\n";
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(answer.status()), bytes);
            response.headers().set("Content-Length", Integer.toString(bytes.readableBytes()))
                    .set("Content-Type", "application/json");
            on.writeAndFlush(response).addListener(written -> {
                if (!keep) {
                    on.close();
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            on.close();
        }
    }
}
