package nettletrail.router;

import java.util.concurrent.TimeUnit;

/** How long a request may stay in the admission queue. Pure; instants are ns. */
final class QueueTimeout {
  /** Share of the route's latency target; an early rejection lets the client retry in time. */
  static final double MAX_SHARE_OF_TARGET = 0.22;

  /**
   * Share of the request's time for the first backend of a service just after a start: backends are
   * known within a heartbeat, and until then a late response is better than a rejection.
   */
  private static final double MAX_SHARE_OF_TIME_AFTER_START = 0.3;

  private static final long START_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final long startedAt;

  /**
   * @param startedAt when this process started
   */
  QueueTimeout(long startedAt) {
    this.startedAt = startedAt;
  }

  /** When a queued exchange is rejected. */
  long queuedUntil(Exchange exchange) {
    long arrivedAt = exchange.request().arrivedAt();
    double maxMs = exchange.route().targetMs() * MAX_SHARE_OF_TARGET;
    long usual = (long) (maxMs * TimeUnit.MILLISECONDS.toNanos(1));
    boolean afterStart = arrivedAt - startedAt < START_NANOS;
    if (!afterStart || exchange.service().backends().size() > 0) {
      return arrivedAt + usual;
    }
    long total = exchange.deadline() - arrivedAt;
    return arrivedAt + Math.max(usual, (long) (total * MAX_SHARE_OF_TIME_AFTER_START));
  }
}
