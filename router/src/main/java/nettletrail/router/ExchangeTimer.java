package nettletrail.router;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** The one timer of an exchange. On the event loop; instants are ns of the steady clock. */
final class ExchangeTimer {
  /** Null unless a task is scheduled. */
  private Future<?> scheduled;

  /** Schedules a task in place of the previous one. */
  void schedule(EventLoop loop, long at, long now, Runnable task) {
    cancel();
    long left = Math.max(0, at - now);
    scheduled = loop.schedule(() -> run(task), left, TimeUnit.NANOSECONDS);
  }

  private void run(Runnable task) {
    scheduled = null;
    task.run();
  }

  /** Cancels the scheduled task, if there is one. */
  void cancel() {
    if (scheduled != null) {
      scheduled.cancel(false);
      scheduled = null;
    }
  }
}
