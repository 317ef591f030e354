package nettletrail.members;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import nettletrail.core.DoorCalls;
import nettletrail.core.Membership.MemberIncarnation;
import nettletrail.wire.MembersWire;

/**
 * Connections between doors: one from each door to each that it calls, kept while it is used. The caller greets first, sealed
 * and with a number of its own; only then is it answered. Each later frame is sealed for the receiver's number, so that no
 * frame of another connection, or of the other direction, passes as one of this; counters grow within a connection.
 *
 * <p>Bounds: a frame, what lies unsent (a call beyond it fails at once), calls out, connections that haven't greeted. All on
 * one event loop.
 */
final class DoorLinks implements AutoCloseable {
    private static final int MOST_FRAME = (1 << 20) + 4_096;
    private static final int MOST_UNSENT = 4 << 20;
    private static final int MOST_CALLS = 16_384;
    private static final int MOST_STRANGERS = 64;
    private static final int NONCE = 16;
    private static final int CONNECT_MS = 1_000;
    private static final long GREET_MS = 2_000;
    private static final long IDLE_NS = 30_000_000_000L;
    private static final byte[] GREETING = {'g'};

    private record Pending(DoorCalls.ResponseCallback answer, Link link) { }

    private record Waiting(String channel, byte[] body, long call, long toLife) { }

    /** One connection. */
    private final class Link extends SimpleChannelInboundHandler<ByteBuf> {
        private final boolean calling;
        private final byte[] nonce = new byte[NONCE];
        private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
        private Channel channel;
        private byte[] sealsFor;
        private MemberIncarnation peer;
        private long counter = -1;
        private long usedAt = System.nanoTime();
        private long heardAt = usedAt;
        private int unsent;

        Link(boolean calling) {
            this.calling = calling;
            random.nextBytes(nonce);
        }

        @Override
        public void channelActive(ChannelHandlerContext on) {
            channel = on.channel();
            if (calling) {
                greet();
            }
        }

        private void greet() {
            byte[] greeting = MembersWire.Greeting.newBuilder().setFrom(Codec.wire(self.get())).setAddress(address.get())
                    .setNonce(ByteString.copyFrom(nonce)).build().toByteArray();
            channel.writeAndFlush(Unpooled.wrappedBuffer(sealer.seal(greeting, GREETING, System.nanoTime())));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext on, ByteBuf frame) {
            byte[] sealed = new byte[frame.readableBytes()];
            frame.readBytes(sealed);
            long now = System.nanoTime();
            usedAt = now;
            heardAt = now;
            try {
                if (peer == null) {
                    greeted(sealer.open(sealed, GREETING, now));
                } else {
                    long number = Sealer.counter(sealed);
                    byte[] text = sealer.open(sealed, purpose(nonce), now);
                    if (number <= counter) {
                        throw new Refused(Dropped.REPLAYED);
                    }
                    counter = number;
                    frame(MembersWire.Frame.parseFrom(text));
                }
            } catch (Refused e) {
                dropped.accept(e.why());
                on.close();
            } catch (InvalidProtocolBufferException e) {
                dropped.accept(Dropped.MALFORMED);
                on.close();
            }
        }

        private void greeted(byte[] text) throws Refused, InvalidProtocolBufferException {
            MembersWire.Greeting greeting = MembersWire.Greeting.parseFrom(text);
            if (greeting.getNonce().size() != NONCE) {
                throw new Refused(Dropped.MALFORMED);
            }
            peer = Codec.life(greeting.getFrom());
            sealsFor = greeting.getNonce().toByteArray();
            strangers.remove(this);
            if (!calling) {
                greet();
            }
            for (Waiting next = waiting.poll(); next != null; next = waiting.poll()) {
                unsent -= next.body().length;
                write(next.channel(), next.call(), false, next.body(), next.toLife());
            }
        }

        private void frame(MembersWire.Frame frame) {
            byte[] body = frame.getBody().toByteArray();
            if (frame.getAnswer()) {
                Pending pending = calls.remove(frame.getCall());
                if (pending != null) {
                    pending.answer().completed(body);
                }
                return;
            }
            if (frame.getToLife() != 0 && frame.getToLife() != self.get().number()) {
                dropped.accept(Dropped.OTHER_LIFE);
                return;
            }
            DoorCalls.CallHandler handler = handlers.get(frame.getChannel());
            if (handler != null) {
                handler.handle(peer, body, answer -> onLoop(() -> {
                    if (channel.isActive()) {
                        write(frame.getChannel(), frame.getCall(), true, answer, 0);
                    }
                }));
            }
        }

        /** Whether it could be taken. */
        boolean call(String to, long number, byte[] body, long toLife) {
            usedAt = System.nanoTime();
            if (sealsFor != null) {
                return channel.isWritable() && write(to, number, false, body, toLife);
            }
            if (unsent + body.length > MOST_UNSENT) {
                return false;
            }
            unsent += body.length;
            waiting.add(new Waiting(to, body, number, toLife));
            return true;
        }

        private boolean write(String to, long number, boolean answer, byte[] body, long toLife) {
            byte[] text = MembersWire.Frame.newBuilder().setChannel(to).setCall(number).setAnswer(answer)
                    .setBody(ByteString.copyFrom(body)).setToLife(toLife).build().toByteArray();
            channel.writeAndFlush(Unpooled.wrappedBuffer(sealer.seal(text, purpose(sealsFor), usedAt)), channel.voidPromise());
            return true;
        }

        @Override
        public void channelInactive(ChannelHandlerContext on) {
            ended();
        }

        void ended() {
            strangers.remove(this);
            inbound.remove(this);
            outbound.values().removeIf(each -> each == this);
            // What was out on it: heard or not, nobody knows.
            for (Map.Entry<Long, Pending> each : List.copyOf(calls.entrySet())) {
                if (each.getValue().link() == this && calls.remove(each.getKey()) != null) {
                    each.getValue().answer().failed();
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            if (fault instanceof io.netty.handler.codec.TooLongFrameException) {
                dropped.accept(Dropped.OVERLONG);
            }
            on.close();
        }
    }

    private final EventLoop loop;
    private final Sealer sealer;
    private final Supplier<MemberIncarnation> self;
    private final Supplier<String> address;
    private final Consumer<Dropped> dropped;
    private final SecureRandom random = new SecureRandom();
    private final Map<String, Link> outbound = new LinkedHashMap<>();
    private final Set<Link> inbound = new HashSet<>();
    private final Set<Link> strangers = new HashSet<>();
    private final Map<Long, Pending> calls = new HashMap<>();
    private final Map<String, DoorCalls.CallHandler> handlers = new HashMap<>();
    private long lastCall;
    private Channel listening;

    /**
     * @param self the life that greets
     * @param address where others reach this door
     * @param dropped hears of each thing that was dropped
     */
    DoorLinks(EventLoop loop, Sealer sealer, Supplier<MemberIncarnation> self, Supplier<String> address,
            Consumer<Dropped> dropped) {
        this.loop = loop;
        this.sealer = sealer;
        this.self = self;
        this.address = address;
        this.dropped = dropped;
        loop.scheduleWithFixedDelay(this::closeIdle, 1, 1, TimeUnit.SECONDS);
    }

    /** The listener's future. */
    ChannelFuture listen(InetSocketAddress at) {
        ChannelFuture binding = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        accepted(made);
                    }
                }).bind(at);
        listening = binding.channel();
        return binding;
    }

    private void accepted(SocketChannel made) {
        Link link = new Link(false);
        if (strangers.size() >= MOST_STRANGERS) {
            strangers.iterator().next().channel.close();
        }
        strangers.add(link);
        inbound.add(link);
        add(made, link);
        link.channel = made;
        loop.schedule(() -> {
            if (link.peer == null) {
                made.close();
            }
        }, GREET_MS, TimeUnit.MILLISECONDS);
    }

    private static void add(SocketChannel to, Link link) {
        to.config().setWriteBufferWaterMark(new WriteBufferWaterMark(MOST_UNSENT / 2, MOST_UNSENT));
        to.pipeline().addLast(new LengthFieldBasedFrameDecoder(MOST_FRAME, 0, Integer.BYTES, 0, Integer.BYTES),
                new LengthFieldPrepender(Integer.BYTES), link);
    }

    /** Who answers on a channel. */
    void serve(String channel, DoorCalls.CallHandler handler) {
        handlers.put(channel, handler);
    }

    /**
     * Calls whoever is at this address.
     *
     * @param who if given, only this life is called: another one there is none
     */
    void call(String to, MemberIncarnation who, String channel, byte[] body, long timeoutNs,
            DoorCalls.ResponseCallback answer) {
        InetSocketAddress where = nettletrail.core.Endpoint.parseAddress(to);
        Link link = where == null || calls.size() >= MOST_CALLS ? null : outbound.get(to);
        if (where != null && calls.size() < MOST_CALLS && (link == null || who != null && link.peer != null
                && !link.peer.equals(who))) {
            if (link != null) {
                link.channel.close();
            }
            link = connect(to, where);
        }
        long number = ++lastCall;
        if (link == null || !link.call(channel, number, body, who == null ? 0 : who.number())) {
            answer.failed();
            return;
        }
        calls.put(number, new Pending(checked(link, who, answer), link));
        long calledAt = System.nanoTime();
        loop.schedule(() -> {
            Pending pending = calls.remove(number);
            if (pending != null) {
                if (pending.link().heardAt < calledAt) {
                    // Silent: what lies in it is sent again ever more seldom, also when the way is free again.
                    pending.link().channel.close();
                }
                pending.answer().failed();
            }
        }, timeoutNs, TimeUnit.NANOSECONDS);
    }

    private static DoorCalls.ResponseCallback checked(Link link, MemberIncarnation who,
            DoorCalls.ResponseCallback answer) {
        return who == null ? answer : new DoorCalls.ResponseCallback() {
            @Override
            public void completed(byte[] body) {
                if (who.equals(link.peer)) {
                    answer.completed(body);
                } else {
                    answer.failed();
                }
            }

            @Override
            public void failed() {
                answer.failed();
            }
        };
    }

    private Link connect(String to, InetSocketAddress where) {
        Link link = new Link(true);
        outbound.put(to, link);
        ChannelFuture connecting = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        add(made, link);
                    }
                }).connect(where);
        link.channel = connecting.channel();
        connecting.addListener(made -> {
            if (!made.isSuccess()) {
                link.ended();
            }
        });
        return link;
    }

    private void closeIdle() {
        long now = System.nanoTime();
        for (Link each : List.copyOf(outbound.values())) {
            if (now - each.usedAt > IDLE_NS) {
                each.channel.close();
            }
        }
        for (Link each : List.copyOf(inbound)) {
            if (now - each.usedAt > 2 * IDLE_NS) {
                each.channel.close();
            }
        }
    }

    private void onLoop(Runnable run) {
        if (loop.inEventLoop()) {
            run.run();
        } else {
            loop.execute(run);
        }
    }

    private static byte[] purpose(byte[] nonce) {
        byte[] purpose = new byte[1 + nonce.length];
        purpose[0] = 'f';
        System.arraycopy(nonce, 0, purpose, 1, nonce.length);
        return purpose;
    }

    /** For its port. */
    Channel listening() {
        return listening;
    }

    @Override
    public void close() {
        if (listening != null) {
            listening.close();
        }
        List.copyOf(outbound.values()).forEach(each -> each.channel.close());
        List.copyOf(inbound).forEach(each -> each.channel.close());
    }
}
