package nettletrail.router;

import java.util.concurrent.TimeUnit;

/**
 * The phases of a graceful shutdown, in ns of the steady clock.
 *
 * @param idleClosedFrom from then on idle connections are closed, and new requests are rejected if
 *     they could outlast the window
 * @param end when the connections that are left are given up
 */
record DrainWindow(long idleClosedFrom, long end) {
  /** How long requests on idle connections are awaited before these are closed. */
  private static final long IDLE_GRACE_MS = 2_500;

  /** Between the end of the window and the end of the process. */
  private static final long MARGIN_MS = 300;

  /**
   * The window of a shutdown that begins now.
   *
   * @param graceMs until the process is killed
   */
  static DrainWindow of(long now, long graceMs) {
    return new DrainWindow(
        now + TimeUnit.MILLISECONDS.toNanos(Math.min(IDLE_GRACE_MS, graceMs / 2)),
        now + TimeUnit.MILLISECONDS.toNanos(Math.max(0, graceMs - MARGIN_MS)));
  }

  /** Whether an exchange arrived so late that it could outlast the window. */
  boolean isTooLate(Exchange exchange) {
    return exchange.request().arrivedAt() - idleClosedFrom >= 0 && exchange.deadline() - end >= 0;
  }

  /** Whether idle connections are closed. */
  boolean closesIdle(long now) {
    return now - idleClosedFrom >= 0;
  }

  boolean hasEnded(long now) {
    return now - end >= 0;
  }
}
