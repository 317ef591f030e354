package nettletrail.faults;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** A client's connection and the one to the server, each direction through its own row of stages. */
final class RelayedConnection {
    private final FaultRelay relay;
    private final long number;
    private final SocketChannel client;
    private final String address;
    private final long acceptedAtMs;
    private final Lane up = new Lane(Toxic.Stream.UPSTREAM);
    private final Lane down = new Lane(Toxic.Stream.DOWNSTREAM);
    private SocketChannel server;
    private boolean over;

    RelayedConnection(FaultRelay relay, long number, SocketChannel client, String address, long relayStartedAt) {
        this.relay = relay;
        this.number = number;
        this.client = client;
        this.address = address;
        acceptedAtMs = (System.nanoTime() - relayStartedAt) / 1_000_000;
    }

    long number() {
        return number;
    }

    String address() {
        return address;
    }

    long acceptedAtMs() {
        return acceptedAtMs;
    }

    /** While the connection on is being made. */
    void server(SocketChannel made) {
        server = made;
        up.connect(client, made);
        down.connect(made, client);
        made.closeFuture().addListener(closed -> {
            if (!over) {
                cut(false);
            }
        });
    }

    /** Both are there. */
    void begin() {
        client.pipeline().addLast(up);
        server.pipeline().addLast(down);
        client.read();
        server.read();
    }

    void toxics(List<Toxic> toxics) {
        up.toxics(toxics);
        down.toxics(toxics);
    }

    /** Ends both; what was passed on before leaves first. */
    void cut(boolean reset) {
        if (over) {
            return;
        }
        over = true;
        close(client, reset);
        if (server != null) {
            close(server, reset);
        }
        relay.ended(this);
    }

    private static void close(SocketChannel channel, boolean reset) {
        if (!channel.isActive()) {
            channel.close();
            return;
        }
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
            if (reset && channel.isOpen()) {
                channel.config().setSoLinger(0);
            }
            channel.close();
        });
    }

    /** One direction. */
    private final class Lane extends ChannelInboundHandlerAdapter implements Stage.Ground {
        private final Toxic.Stream stream;
        private final Map<String, Stage> stages = new LinkedHashMap<>();
        private final Sink sink = new Sink();
        private SocketChannel from;
        private SocketChannel out;
        private Stage first = sink;
        private long passed;
        private boolean closedOut;

        Lane(Toxic.Stream stream) {
            this.stream = stream;
        }

        void connect(SocketChannel source, SocketChannel receiver) {
            from = source;
            out = receiver;
        }

        /** Puts these in force: those gone let go of what they hold, new ones come in at the end. */
        void toxics(List<Toxic> wanted) {
            Map<String, Toxic> mine = new LinkedHashMap<>();
            for (Toxic toxic : wanted) {
                if (toxic.stream() == stream) {
                    mine.put(toxic.name(), toxic);
                }
            }
            List<Stage> gone = new ArrayList<>();
            for (Map.Entry<String, Stage> each : stages.entrySet()) {
                if (!each.getValue().toxic.equals(mine.get(each.getKey()))) {
                    gone.add(each.getValue());
                }
            }
            for (Stage stage : gone) {
                stages.remove(stage.toxic.name());
                stage.release(); // still linked: what it held goes through those behind it
            }
            mine.forEach((name, toxic) -> {
                if (!stages.containsKey(name)) {
                    Stage stage = stage(toxic, relay.decider().random(name, number));
                    if (stage != null) {
                        stages.put(name, stage);
                    }
                }
            });
            Stage next = sink;
            List<Stage> row = new ArrayList<>(stages.values());
            for (int i = row.size() - 1; i >= 0; i--) {
                row.get(i).next = next;
                next = row.get(i);
            }
            first = next;
            if (!gone.isEmpty()) {
                readOn();
            }
        }

        private Stage stage(Toxic toxic, SplittableRandom random) {
            return switch (toxic.kind()) {
                case LATENCY -> new Timing.Latency(toxic, this, random);
                case BANDWIDTH -> new Timing.Bandwidth(toxic, this, random);
                case SLOW_LORIS -> new Timing.SlowLoris(toxic, this, random);
                case SLICER -> new Timing.Slicer(toxic, this, random);
                case STALL -> new Timing.Stall(toxic, this, random);
                case TIMEOUT -> new Timing.Timeout(toxic, this, random);
                case CUT -> new Breaking.Cut(toxic, this, random);
                case HALF_CLOSE -> new Breaking.HalfClose(toxic, this, random);
                case GARBLE -> toxic.text("mode", "").equals("random") ? new Garbling.Noise(toxic, this, random)
                        : new Garbling.Rewrite(toxic, this, random);
                case DUPLICATE -> new Garbling.Duplicate(toxic, this, random);
                case REORDER -> new Garbling.Reorder(toxic, this, random);
                case BLACK_HOLE, REFUSE -> null; // at the accept
            };
        }

        // ---- From the sender

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf buffer = (ByteBuf) message;
            if (over || closedOut) {
                buffer.release();
            } else if (first == sink) {
                passed += buffer.readableBytes();
                out.write(buffer, out.voidPromise());
            } else {
                byte[] bytes = ByteBufUtil.getBytes(buffer);
                buffer.release();
                first.take(bytes);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            out.flush();
            readOn();
        }

        private void readOn() {
            int held = 0;
            for (Stage stage : stages.values()) {
                held += stage.held();
            }
            if (!over && from != null && held < Stage.MOST_HELD && (out.isWritable() || closedOut)) {
                from.read();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            // This channel is the other direction's receiver.
            Lane other = this == up ? down : up;
            if (from.isWritable()) {
                other.readOn();
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent && !over) {
                first.end();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable fault) {
            cut(true); // a reset on one side is one on the other
        }

        // ---- What stages do

        @Override
        public void after(long ns, Runnable what) {
            relay.loop().schedule(() -> {
                if (!over) {
                    what.run();
                    out.flush();
                    readOn();
                }
            }, ns, TimeUnit.NANOSECONDS);
        }

        @Override
        public void done(Toxic toxic, long offset, String what) {
            relay.done(number, toxic, offset, what);
        }

        @Override
        public void cut(boolean reset) {
            RelayedConnection.this.cut(reset);
        }

        @Override
        public void halfClose() {
            if (!closedOut && !over) {
                closedOut = true;
                out.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((ChannelFutureListener) written ->
                        out.shutdownOutput().addListener(shut -> bothEnded()));
            }
        }

        private void bothEnded() {
            if (up.closedOut && down.closedOut) {
                RelayedConnection.this.cut(false);
            }
        }

        /** The end of the row: the receiver. */
        private final class Sink extends Stage {
            Sink() {
                super(null, null, null);
            }

            @Override
            void bytes(byte[] bytes, long at) {
                if (!over && !closedOut) {
                    passed += bytes.length;
                    out.writeAndFlush(Unpooled.wrappedBuffer(bytes), out.voidPromise());
                }
            }

            @Override
            void end() {
                halfClose();
            }
        }
    }
}
