package nettletrail.faults;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * One direction between two ends that speak in datagrams: what comes here goes on to the other end, as far as the weather
 * lets it. Answers don't come back this way: each direction has a relay of its own, and each end is told the relay's address
 * as the other's. On one event loop; its methods may be called from any thread and hold for what comes after.
 */
public final class DatagramRelay implements AutoCloseable {
    private static final int MOST = 65_536;
    private static final int RECEIVE_BUFFER = 1 << 20;
    private static final long MS = 1_000_000L;

    /**
     * What becomes of datagrams.
     *
     * @param loss share that is lost, 0 to 1
     * @param burst datagrams that are lost in a row once one is; 1 for none but that
     * @param delayMs by which each comes later, and up to jitterMs more: with jitter, they overtake one another
     * @param repeat share that comes twice, 0 to 1
     * @param bytesPerS beyond which they are dropped; 0 for no bound
     */
    public record Weather(double loss, int burst, long delayMs, long jitterMs, double repeat, long bytesPerS) {
        /** All arrive at once. */
        public static final Weather FAIR = new Weather(0, 1, 0, 0, 0, 0);
        /** None arrives. */
        public static final Weather CUT = new Weather(1, 1, 0, 0, 0, 0);

        public Weather {
            if (!(loss >= 0 && loss <= 1 && repeat >= 0 && repeat <= 1) || burst < 1 || delayMs < 0 || jitterMs < 0
                    || bytesPerS < 0) {
                throw new IllegalArgumentException("weather: shares must be from 0 to 1, burst 1 or more, the rest 0 or more");
            }
        }

        /** So many are lost. */
        public static Weather lossy(double share) {
            return new Weather(share, 1, 0, 0, 0, 0);
        }

        /** All are late. */
        public static Weather late(long delayMs, long jitterMs) {
            return new Weather(0, 1, delayMs, jitterMs, 0, 0);
        }
    }

    private final EventLoop loop;
    private final SplittableRandom random;
    private final Channel channel;
    private volatile Weather weather = Weather.FAIR;
    private volatile InetSocketAddress to;
    private int losing;
    private double credit;
    private long creditAt = System.nanoTime();
    private volatile long came;
    private volatile long lost;

    private DatagramRelay(EventLoop loop, Channel channel, long seed) {
        this.loop = loop;
        this.channel = channel;
        random = new SplittableRandom(seed);
    }

    /**
     * Starts one; until it is pointed somewhere it drops all.
     *
     * @return null if the address is taken
     */
    public static DatagramRelay start(EventLoopGroup group, InetSocketAddress listen, long seed) {
        EventLoop loop = group.next();
        Reader reader = new Reader();
        ChannelFuture bound = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MOST)).handler(reader).bind(listen)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            return null;
        }
        DatagramRelay relay = new DatagramRelay(loop, bound.channel(), seed);
        reader.relay = relay;
        return relay;
    }

    private static final class Reader extends SimpleChannelInboundHandler<DatagramPacket> {
        private volatile DatagramRelay relay;

        @Override
        protected void channelRead0(ChannelHandlerContext on, DatagramPacket packet) {
            if (relay != null) {
                relay.pass(packet);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            // Nobody listens there now: as a network, it says nothing.
        }
    }

    private void pass(DatagramPacket packet) {
        came++;
        Weather now = weather;
        InetSocketAddress target = to;
        if (target == null || loses(now, packet.content().readableBytes())) {
            lost++;
            return;
        }
        int times = random.nextDouble() < now.repeat() ? 2 : 1;
        for (int i = 0; i < times; i++) {
            DatagramPacket on = new DatagramPacket(packet.content().retainedDuplicate(), target);
            long wait = now.delayMs() * MS + (now.jitterMs() == 0 ? 0 : random.nextLong(now.jitterMs() * MS));
            if (wait == 0) {
                channel.writeAndFlush(on, channel.voidPromise());
            } else {
                loop.schedule(() -> channel.writeAndFlush(on, channel.voidPromise()), wait, TimeUnit.NANOSECONDS);
            }
        }
    }

    private boolean loses(Weather now, int bytes) {
        if (now.bytesPerS() > 0) {
            long time = System.nanoTime();
            credit = Math.min(now.bytesPerS(), credit + now.bytesPerS() * (time - creditAt) / 1e9);
            creditAt = time;
            if (credit < bytes) {
                return true;
            }
            credit -= bytes;
        }
        if (losing > 0) {
            losing--;
            return true;
        }
        if (random.nextDouble() < now.loss() / now.burst()) {
            losing = now.burst() - 1;
            return true;
        }
        return false;
    }

    /** What holds from now on. */
    public void weather(Weather now) {
        weather = now;
    }

    /** Where they go from now on. */
    public void point(InetSocketAddress end) {
        to = end;
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Datagrams that came, and those of them that were dropped. */
    public long[] counts() {
        return new long[] {came, lost};
    }

    @Override
    public void close() {
        channel.close();
    }
}
