package nettletrail.app.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalServerChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * All backends as one hollow front door sees them: connections in memory that answer each request after a drawn time,
 * whichever backend they stand for. They close what has stood idle for as long as the front door's own pool would keep
 * it, as that pool isn't swept where connections are no sockets. On the door's loop.
 */
final class HollowBackends {
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved";
    private static final long SWEEP_MS = 1_000;

    private final EventLoop loop;
    private final SplittableRandom random;
    private final long idleNs;
    private final LocalAddress address = new LocalAddress(HollowBackends.class);
    private final Channel listening;
    /** The longest idle first. */
    private final Set<Answering> idle = new LinkedHashSet<>();
    private final Set<Channel> open = new LinkedHashSet<>();
    private final io.netty.util.concurrent.Future<?> sweeping;
    long connects;

    /** @param idleNs for which a connection is kept without a request */
    HollowBackends(EventLoop loop, long idleNs, long seed) {
        this.loop = loop;
        this.idleNs = idleNs;
        random = new SplittableRandom(seed);
        listening = new ServerBootstrap().group(loop).channel(LocalServerChannel.class)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel made) {
                        connects++;
                        open.add(made);
                        made.pipeline().addLast(new Answering());
                    }
                }).bind(address).channel();
        sweeping = loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    LocalAddress address() {
        return address;
    }

    int connections() {
        return open.size();
    }

    void end() {
        sweeping.cancel(false);
        listening.close();
        List.copyOf(open).forEach(Channel::close);
    }

    private void sweep() {
        long now = System.nanoTime();
        for (Answering each : List.copyOf(idle)) {
            if (now - each.idleSince <= idleNs) {
                return;
            }
            idle.remove(each);
            each.on.close();
        }
    }

    private final class Answering extends ChannelInboundHandlerAdapter {
        private ChannelHandlerContext on;
        private long idleSince;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            on = context;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            idle.remove(this);
            loop.schedule(this::answer, FleetPlan.answerNs(random), TimeUnit.NANOSECONDS);
        }

        private void answer() {
            if (on.channel().isActive()) {
                idleSince = System.nanoTime();
                idle.add(this);
                on.writeAndFlush(ByteBufUtil.writeAscii(on.alloc(), ANSWER), on.voidPromise());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.remove(this);
            open.remove(context.channel());
        }
    }
}
