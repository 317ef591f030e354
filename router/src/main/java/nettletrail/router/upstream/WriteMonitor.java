package nettletrail.router.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.channel.ChannelPromise;

/**
 * Records whether the kernel has accepted any byte of the current request. It is notified of each
 * partial write on the event loop before the write returns, so its state is up to date also if the
 * next write to the same socket fails.
 */
final class WriteMonitor extends ChannelOutboundHandlerAdapter
    implements ChannelProgressiveFutureListener {
  private boolean begun;

  /** Resets the state for the next request. */
  void beginRequest() {
    begun = false;
  }

  /** Whether a byte of the request may have left this process. */
  boolean hasBegun() {
    return begun;
  }

  /** A void promise doesn't report partial writes, so it is replaced by one that does. */
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
    // A failed write has reported its progress before, or none of its bytes left.
  }
}
