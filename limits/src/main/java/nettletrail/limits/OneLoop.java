package nettletrail.limits;

import io.lettuce.core.resource.EventLoopGroupProvider;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutorGroup;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Has the client library do its work on the front door's own loop: with loops of its own each call woke two threads more,
 * which cost most of the call. The loop is not the library's to end.
 */
record OneLoop(EventLoop loop) implements EventLoopGroupProvider {
    /** What is asked for is a group of the transport's kind; the library uses it as an {@link EventLoopGroup} only. */
    @Override
    @SuppressWarnings("unchecked")
    public <T extends EventLoopGroup> T allocate(Class<T> kind) {
        return (T) (EventLoopGroup) loop;
    }

    @Override
    public int threadPoolSize() {
        return 1;
    }

    @Override
    public Future<Boolean> release(EventExecutorGroup group, long quietPeriod, long timeout, TimeUnit unit) {
        return loop.newSucceededFuture(true);
    }

    @Override
    public Future<Boolean> shutdown(long quietPeriod, long timeout, TimeUnit unit) {
        return loop.newSucceededFuture(true);
    }
}
