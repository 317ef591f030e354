package nettletrail.router.upstream;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * The connections whose response has ended and that are not reused yet. Surplus bytes which a
 * backend sends after a response show within the cooldown; after the next request was written they
 * would be taken for its response.
 */
final class CooldownQueue {
  static final long COOLDOWN_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private final EventLoop loop;

  /** In the order of their ends; may contain connections that have closed since. */
  private final ArrayDeque<UpstreamConnection> connections = new ArrayDeque<>();

  CooldownQueue(EventLoop loop) {
    this.loop = loop;
  }

  /** Adds a connection whose response has ended. */
  void add(UpstreamConnection connection, long now) {
    connection.reuse().startCooldown(now + COOLDOWN_NANOS);
    connections.addLast(connection);
  }

  /** Schedules the end of the first cooldown of this backend, for an attempt that waits. */
  void scheduleEndFor(BackendConnectionPool backend, long now) {
    for (UpstreamConnection connection : connections) {
      if (connection.reuse().isCoolingDown() && connection.backend() == backend) {
        long left = Math.max(0, connection.reuse().cooldownEnd() - now);
        loop.schedule(() -> endElapsed(System.nanoTime()), left, TimeUnit.NANOSECONDS);
        return;
      }
    }
  }

  /** Returns connections whose cooldown has elapsed to their pools; closes those with surplus. */
  void endElapsed(long now) {
    for (UpstreamConnection first = connections.peekFirst();
        first != null && first.reuse().cooldownEnd() - now <= 0;
        first = connections.peekFirst()) {
      connections.pollFirst();
      if (!first.reuse().isCoolingDown()) {
        continue; // closed since
      }
      if (first.hasNothingUnread()) {
        first.backend().cooldownEnded(first, now);
      } else {
        first.close();
      }
    }
  }
}
