package nettletrail.app.scale;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.AbstractEventExecutor;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * One front door's part of a loop that many share. It counts what is run for this door (thread CPU time of its timers
 * and of what its connections read) and the bytes of its connections, by handlers put into their pipelines as they are
 * registered: the code that is measured is the real one, unchanged. Once {@link #end ended} it runs nothing more, as a
 * process that is gone. All counting on the loop.
 */
final class CountedLoop extends AbstractEventExecutor implements EventLoop {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    /** Hears of each answer of discovery that has been taken in, on the loop. */
    interface Heard {
        void heard(long index, long atNs);
    }

    private final EventLoop real;
    private final Heard heard;
    private Channel channel;
    private boolean ended;
    private long entered;
    private int depth;
    long cpuNs;
    long bytesIn;
    long bytesOut;
    long connects;

    CountedLoop(EventLoop real, Heard heard) {
        this.real = real;
        this.heard = heard;
    }

    void enter() {
        if (depth++ == 0) {
            entered = THREADS.getCurrentThreadCpuTime();
        }
    }

    void leave() {
        if (--depth == 0) {
            cpuNs += THREADS.getCurrentThreadCpuTime() - entered;
        }
    }

    /** Runs nothing more for this door, and resets its connection. */
    void end() {
        ended = true;
        if (channel != null) {
            channel.close();
        }
    }

    private Runnable counted(Runnable run) {
        return () -> {
            if (!ended) {
                enter();
                try {
                    run.run();
                } finally {
                    leave();
                }
            }
        };
    }

    @Override
    public ChannelFuture register(Channel made) {
        if (!ended) {
            channel = made;
            connects++;
            made.pipeline().addFirst(new Counting());
        }
        return real.register(made);
    }

    @Override
    public ChannelFuture register(ChannelPromise promise) {
        return real.register(promise);
    }

    @Deprecated
    @Override
    public ChannelFuture register(Channel made, ChannelPromise promise) {
        return real.register(made, promise);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable run, long delay, TimeUnit unit) {
        return ended ? real.schedule(() -> { }, 0, unit) : real.schedule(counted(run), delay, unit);
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> call, long delay, TimeUnit unit) {
        return real.schedule(call, delay, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable run, long first, long period, TimeUnit unit) {
        return real.scheduleAtFixedRate(counted(run), first, period, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable run, long first, long delay, TimeUnit unit) {
        return real.scheduleWithFixedDelay(counted(run), first, delay, unit);
    }

    @Override
    public void execute(Runnable run) {
        real.execute(counted(run));
    }

    @Override
    public EventLoopGroup parent() {
        return real.parent();
    }

    @Override
    public EventLoop next() {
        return this;
    }

    @Override
    public boolean inEventLoop(Thread thread) {
        return real.inEventLoop(thread);
    }

    @Override
    public boolean isShuttingDown() {
        return real.isShuttingDown();
    }

    @Override
    public Future<?> shutdownGracefully(long quiet, long most, TimeUnit unit) {
        return real.shutdownGracefully(quiet, most, unit);
    }

    @Override
    public Future<?> terminationFuture() {
        return real.terminationFuture();
    }

    @Deprecated
    @Override
    public void shutdown() {
        real.shutdownGracefully();
    }

    @Override
    public boolean isShutdown() {
        return real.isShutdown();
    }

    @Override
    public boolean isTerminated() {
        return real.isTerminated();
    }

    @Override
    public boolean awaitTermination(long most, TimeUnit unit) throws InterruptedException {
        return real.awaitTermination(most, unit);
    }

    /** First in the pipeline: bytes as they pass to and from the socket, and the time of all that reading sets off. */
    private final class Counting extends ChannelDuplexHandler {
        @Override
        public void channelActive(ChannelHandlerContext on) {
            // The answers' handler is the last; before it they are whole.
            on.pipeline().addBefore(on.pipeline().lastContext().name(), "versions", new Versions());
            on.fireChannelActive();
        }

        @Override
        public void channelRead(ChannelHandlerContext on, Object message) {
            bytesIn += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
            enter();
            try {
                on.fireChannelRead(message);
            } finally {
                leave();
            }
        }

        @Override
        public void write(ChannelHandlerContext on, Object message, ChannelPromise promise) {
            bytesOut += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
            on.write(message, promise);
        }
    }

    /** Tells of each version as soon as it has been taken in, by the module too. */
    private final class Versions extends ChannelInboundHandlerAdapter {
        private static final byte[] KEY = {'"', 'i', 'n', 'd', 'e', 'x', '"', ':'};

        @Override
        public void channelRead(ChannelHandlerContext on, Object message) {
            long index = message instanceof FullHttpResponse response && response.status().code() == 200
                    ? index(response.content()) : -1;
            on.fireChannelRead(message);
            if (index >= 0 && !ended) {
                heard.heard(index, System.nanoTime());
            }
        }

        private static long index(ByteBuf content) {
            int at = content.readerIndex() + 1;
            for (int i = 0; i < KEY.length; i++) {
                if (content.readableBytes() < KEY.length + 2 || content.getByte(at + i) != KEY[i]) {
                    return -1;
                }
            }
            long index = 0;
            for (int i = at + KEY.length; i < content.writerIndex(); i++) {
                int digit = content.getByte(i) - '0';
                if (digit < 0 || digit > 9) {
                    break;
                }
                index = index * 10 + digit;
            }
            return index;
        }
    }
}
