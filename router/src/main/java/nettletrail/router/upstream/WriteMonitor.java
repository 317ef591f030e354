package nettletrail.router.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.channel.ChannelPromise;

/**
 * Tells whether the kernel has taken any byte of the request that is being written on a connection.
 * It is told of each partial write on the event loop, before the write returns, so that its word
 * holds also if the next write to the same socket fails.
 */
final class WriteMonitor extends ChannelOutboundHandlerAdapter
    implements ChannelProgressiveFutureListener {
  private boolean begun;

  /** Another request is written from now on. */
  void beginRequest() {
    begun = false;
  }

  /** Whether a byte of the request may have left this process. */
  boolean hasBegun() {
    return begun;
  }

  /** A void promise can't tell of partial writes, so it is replaced by one that can. */
  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    ChannelProgressivePromise monitored =
        promise instanceof ChannelProgressivePromise progressive
            ? progressive
            : context.newProgressivePromise();
    monitored.addListener(this);
    context.write(message, monitored);
  }

  @Override
  public void operationProgressed(ChannelProgressiveFuture write, long progress, long total) {
    begun |= progress > 0;
  }

  @Override
  public void operationComplete(ChannelProgressiveFuture write) {
    // A write that fails later has progressed before, or no byte of it has left.
  }
}
