package nettletrail.counter;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * A counter on a loopback socket: RESP2 and RESP3 as far as a client library and a script for counting need them, and the
 * faults that such servers have. Its halves are further ones of these with {@link #half}. Faults are set from any thread.
 */
public final class StandInCounter implements AutoCloseable {
    private static final int MOST_COMMAND = 1 << 20;
    private static final int MOST_PARTS = 1_024;
    private static final int MOST_DIGITS = 12;

    private final EventLoop loop;
    private final LongSupplier clockMs;
    private final String password;
    private final ChannelGroup connections;
    private Channel listening;
    private int port;
    private CounterStore store;
    private long delayMs;
    private int dropAnswers;
    private boolean stopped;
    private boolean gone;
    private final List<Runnable> waiting = new ArrayList<>();
    private long commands;

    /** @param password that clients must give, or null */
    public StandInCounter(EventLoop loop, String password) throws InterruptedException {
        this(loop, password, System::currentTimeMillis, null);
    }

    private StandInCounter(EventLoop loop, String password, LongSupplier clockMs, CounterStore from)
            throws InterruptedException {
        this.loop = loop;
        this.password = password;
        this.clockMs = clockMs;
        store = from == null ? new CounterStore(clockMs) : from;
        connections = new DefaultChannelGroup(loop);
        open();
    }

    private void open() throws InterruptedException {
        listening = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        if (gone) {
                            made.close();
                            return;
                        }
                        connections.add(made);
                        made.pipeline().addLast(new CommandDecoder(), new Commands());
                    }
                }).bind(InetAddress.getLoopbackAddress(), port).sync().channel();
        port = ((InetSocketAddress) listening.localAddress()).getPort();
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    // ---- Faults --------------------------------------------------------------------------------------------

    /** Each answer comes so much later. */
    public void delay(long ms) {
        set(it -> it.delayMs = ms);
    }

    /** The answers to the next so many scripts are lost after these have run, and their connections end. */
    public void dropAnswers(int count) {
        set(it -> it.dropAnswers = count);
    }

    /** Commands are taken and neither run nor answered, as a stopped process does; what lies there is run afterwards. */
    public void stopped(boolean now) {
        set(it -> {
            it.stopped = now;
            List<Runnable> waiting = List.copyOf(it.waiting);
            it.waiting.clear();
            waiting.forEach(Runnable::run);
        });
    }

    /** What needs memory is refused, or no longer. */
    public void full(boolean now) {
        set(it -> it.store.full(now));
    }

    /** A fresh server under the same address: it knows nothing, and connections to the old one have ended. */
    public void replace() {
        set(it -> {
            it.store = new CounterStore(it.clockMs);
            it.connections.close();
        });
    }

    /** Another server that knows what this one knows now and counts alone from here. */
    public StandInCounter half() throws InterruptedException {
        CounterStore[] copy = new CounterStore[1];
        set(it -> copy[0] = it.store.copy());
        return new StandInCounter(loop, password, clockMs, copy[0]);
    }

    /** What that one knew when it was made takes the place of what this one knows: a replica that lagged is promoted. */
    public void promote(StandInCounter replica) {
        set(it -> {
            it.store = replica.store.copy();
            it.connections.close();
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

    /** Commands that were run. */
    public long commands() {
        long[] count = new long[1];
        set(it -> count[0] = it.commands);
        return count[0];
    }

    /** About how many bytes of keys and values it has. */
    public long bytes() {
        long[] bytes = new long[1];
        set(it -> bytes[0] = it.store.bytes());
        return bytes[0];
    }

    private void set(Consumer<StandInCounter> change) {
        if (loop.inEventLoop()) {
            change.accept(this);
        } else {
            loop.submit(() -> change.accept(this)).syncUninterruptibly();
        }
    }

    @Override
    public void close() {
        listening.close().syncUninterruptibly();
        connections.close().syncUninterruptibly();
    }

    // ---- The protocol --------------------------------------------------------------------------------------

    /** A command is an array of bulk strings. */
    private static final class CommandDecoder extends ByteToMessageDecoder {
        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
            int start = in.readerIndex();
            long parts = number(in, '*');
            if (parts > MOST_PARTS) {
                throw new IllegalArgumentException("a command of " + parts + " parts");
            }
            List<String> command = new ArrayList<>();
            for (long i = 0; i < parts; i++) {
                long length = number(in, '$');
                if (length < 0 || in.readableBytes() < length + 2) {
                    parts = -1;
                } else {
                    command.add(in.readCharSequence((int) length, StandardCharsets.UTF_8).toString());
                    in.skipBytes(2);
                }
            }
            if (parts < 0) {
                in.readerIndex(start); // more is to come
            } else if (!command.isEmpty()) {
                out.add(command);
            }
        }

        /** The number behind this sign, or -1 if it is not there yet. */
        private static long number(ByteBuf in, char sign) {
            int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
            if (end < 0) {
                if (in.readableBytes() > MOST_DIGITS) {
                    throw new IllegalArgumentException("no command of this protocol");
                }
                return -1;
            }
            String line = in.readCharSequence(end - in.readerIndex() + 1, StandardCharsets.US_ASCII).toString().strip();
            if (line.length() < 2 || line.length() > MOST_DIGITS || line.charAt(0) != sign) {
                throw new IllegalArgumentException("no command of this protocol");
            }
            long number = Long.parseLong(line.substring(1));
            if (number < 0 || number > MOST_COMMAND) {
                throw new IllegalArgumentException("a command of " + number);
            }
            return number;
        }
    }

    private final class Commands extends SimpleChannelInboundHandler<List<String>> {
        private boolean known = password == null;
        private boolean three;

        @Override
        protected void channelRead0(ChannelHandlerContext on, List<String> command) {
            if (stopped) {
                waiting.add(() -> channelRead0(on, command));
                return;
            }
            StringBuilder answer = new StringBuilder();
            boolean script = command.get(0).toUpperCase(Locale.ROOT).startsWith("EVAL");
            try {
                write(answer, run(command));
            } catch (CounterStore.Refused e) {
                answer.append('-').append(e.getMessage()).append("\r\n");
            }
            if (script && dropAnswers > 0) {
                dropAnswers--;
                on.close();
                return;
            }
            ByteBuf out = on.alloc().buffer().writeBytes(answer.toString().getBytes(StandardCharsets.UTF_8));
            if (delayMs > 0) {
                on.executor().schedule(() -> on.writeAndFlush(out), delayMs, TimeUnit.MILLISECONDS);
            } else {
                on.writeAndFlush(out);
            }
        }

        private Object run(List<String> command) {
            commands++;
            String name = command.get(0).toUpperCase(Locale.ROOT);
            switch (name) {
                case "HELLO":
                    return hello(command);
                case "AUTH":
                    authenticate(command.get(command.size() - 1));
                    return "OK";
                default:
                    if (!known) {
                        throw new CounterStore.Refused("NOAUTH Authentication required.");
                    }
            }
            return switch (name) {
                case "PING" -> "PONG";
                case "CLIENT", "SELECT" -> "OK";
                case "SCRIPT" -> {
                    store.load(CounterStore.nameOf(command.get(2)), command.get(2));
                    yield CounterStore.nameOf(command.get(2));
                }
                case "EVAL" -> {
                    store.load(CounterStore.nameOf(command.get(1)), command.get(1));
                    yield eval(CounterStore.nameOf(command.get(1)), command);
                }
                case "EVALSHA" -> eval(command.get(1), command);
                default -> store.run(command);
            };
        }

        private Object eval(String script, List<String> command) {
            int keys = Integer.parseInt(command.get(2));
            if (keys < 0 || command.size() < 3 + keys) {
                throw new CounterStore.Refused("ERR Number of keys can't be greater than number of args");
            }
            return store.eval(script, command.subList(3, 3 + keys), command.subList(3 + keys, command.size()));
        }

        private void authenticate(String given) {
            if (password != null && !password.equals(given)) {
                throw new CounterStore.Refused("WRONGPASS invalid username-password pair or user is disabled.");
            }
            known = true;
        }

        private Object hello(List<String> command) {
            int auth = command.indexOf("AUTH");
            if (auth > 0) {
                authenticate(command.get(auth + 2));
            }
            if (!known) {
                throw new CounterStore.Refused("NOAUTH HELLO must be called with the client already authenticated");
            }
            three = command.size() > 1 && command.get(1).equals("3");
            return new Fields(List.of("server", "redis", "version", "7.0.0", "proto", three ? 3L : 2L, "id", 1L, "mode",
                    "standalone", "role", "master", "modules", List.of()));
        }

        private void write(StringBuilder to, Object value) {
            if (value == null) {
                to.append(three ? "_\r\n" : "$-1\r\n");
            } else if (value instanceof Long number) {
                to.append(':').append(number).append("\r\n");
            } else if (value instanceof Fields fields) {
                int size = fields.all().size();
                to.append(three ? '%' : '*').append(three ? size / 2 : size).append("\r\n");
                fields.all().forEach(each -> write(to, each));
            } else if (value instanceof List<?> list) {
                to.append('*').append(list.size()).append("\r\n");
                list.forEach(each -> write(to, each));
            } else if (value.equals("OK") || value.equals("PONG")) {
                to.append('+').append(value).append("\r\n");
            } else {
                String text = (String) value;
                to.append('$').append(text.getBytes(StandardCharsets.UTF_8).length).append("\r\n").append(text)
                        .append("\r\n");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            on.close();
        }
    }

    /** Names and values in turn: a map where the protocol has one. */
    private record Fields(List<Object> all) { }
}
