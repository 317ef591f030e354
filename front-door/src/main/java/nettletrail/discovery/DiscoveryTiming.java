package nettletrail.discovery;

import java.util.SplittableRandom;

/**
 * Every wait, timeout and backoff of the requests to discovery, derived from one budget. A change
 * must be applied within {@link #PROPAGATION_LIMIT_MS} after discovery had it and could be reached,
 * whatever failed before. At that moment one request may be in progress that will never be answered
 * (it was sent while discovery could not be reached, or its watch has become silent). The next one
 * may either be queued at discovery for all of {@link #RESPONSE_TIMEOUT_MS}, or be lost as well
 * with the one after it answered at once. With {@link #LOOP_DELAY_RESERVE_MS} reserved for a late
 * event loop, these sums must fit:
 *
 * <pre>
 * watch      WATCH_WAIT + WATCH_GRACE + CONNECT_TIMEOUT + INITIAL_BACKOFF + RESPONSE_TIMEOUT
 *                                                    &lt;= PROPAGATION_LIMIT - LOOP_DELAY_RESERVE
 * silence    RESPONSE_TIMEOUT + MAX_TIMEOUT_BACKOFF + CONNECT_TIMEOUT + RESPONSE_TIMEOUT
 *                                                    &lt;= PROPAGATION_LIMIT - LOOP_DELAY_RESERVE
 * overload   MAX_OVERLOAD_INTERVAL + RESPONSE_TIMEOUT
 *                                                    &lt;= PROPAGATION_LIMIT - LOOP_DELAY_RESERVE
 * </pre>
 *
 * <p><i>watch</i>: a silent watch is distinguished from one without news {@link #WATCH_GRACE_MS}
 * after its wait has elapsed. A second request is then sent beside it on another connection, which
 * may fail to connect once. A response to the first request is still accepted until that request's
 * own timeout, so that a watch that was only queued loses nothing and none is given up early.
 * <i>silence</i>: a request without a wait is lost, the connection made after the backoff does not
 * come up, and the next request is queued. <i>overload</i>: a response that rejects a request (503,
 * 429) shows that discovery can't serve it now; from one such request to the next it is at most
 * MAX_OVERLOAD_INTERVAL. That interval starts when the request is sent, so that time in discovery's
 * queue counts as backoff.
 *
 * <p>Load on an overloaded discovery: N front doors that are all rejected send N / (0.75
 * MAX_OVERLOAD_INTERVAL) requests a second, 43 for 100 front doors and 206 for 480. While a
 * rejection costs less than the inverse (23 and 4.8 ms), discovery has time left to serve lists. No
 * choice of backoffs does better than N / MAX_OVERLOAD_INTERVAL within the budget.
 */
final class DiscoveryTiming {
  /** By the protocol, a change must be applied after this time at the latest. */
  static final int PROPAGATION_LIMIT_MS = 6_000;

  /**
   * Part of the limit reserved for an event loop that is late at each timer, and for applying the
   * list.
   */
  static final int LOOP_DELAY_RESERVE_MS = 800;

  /**
   * Timeout of a request. Discovery itself drops a request after 2 s in its queue: a front door
   * with a shorter timeout made it work on a response that nobody received, and added another
   * request to the queue.
   */
  static final int RESPONSE_TIMEOUT_MS = 2_100;

  /** A watch without a response this long after its wait has elapsed is presumed silent. */
  static final int WATCH_GRACE_MS = 300;

  /** Connect timeout; short because the agent is on the same machine. */
  static final int CONNECT_TIMEOUT_MS = 400;

  /**
   * Backoff after the first failure: far below the 200 ms after which a new watch would begin. It
   * doubles with each failure and has jitter, because discovery serves all front doors with a small
   * capacity: once it had to reject some requests, retries of all front doors every 50 ms made it
   * reject all of them permanently.
   */
  static final int INITIAL_BACKOFF_MS = 60;

  /** How long a watch waits for changes. */
  static final int WATCH_WAIT_MS =
      PROPAGATION_LIMIT_MS
          - LOOP_DELAY_RESERVE_MS
          - RESPONSE_TIMEOUT_MS
          - INITIAL_BACKOFF_MS
          - CONNECT_TIMEOUT_MS
          - WATCH_GRACE_MS;

  /**
   * The longest backoff after a request without a response; such requests cost discovery nothing.
   */
  static final int MAX_TIMEOUT_BACKOFF_MS =
      PROPAGATION_LIMIT_MS - LOOP_DELAY_RESERVE_MS - 2 * RESPONSE_TIMEOUT_MS - CONNECT_TIMEOUT_MS;

  /** The longest time from the start of a rejected request to the next request. */
  static final int MAX_OVERLOAD_INTERVAL_MS =
      PROPAGATION_LIMIT_MS - LOOP_DELAY_RESERVE_MS - RESPONSE_TIMEOUT_MS;

  private DiscoveryTiming() {}

  /**
   * Returns the backoff in ms after a request without a response.
   *
   * @param previousFailures consecutive failures before this one
   * @return at most {@link #MAX_TIMEOUT_BACKOFF_MS}
   */
  static int timeoutBackoffMs(int previousFailures, SplittableRandom random) {
    return jitteredBackoff(MAX_TIMEOUT_BACKOFF_MS, previousFailures, random);
  }

  /**
   * Returns the backoff in ms after a response that rejected a request.
   *
   * @param previousFailures consecutive failures before this one
   * @param queuedMs how long the request waited for its response, which counts as part of the
   *     backoff
   * @return at least 1; together with {@code queuedMs} at most {@link #MAX_OVERLOAD_INTERVAL_MS},
   *     or {@code queuedMs + 1} if that is longer
   */
  static int overloadBackoffMs(int previousFailures, long queuedMs, SplittableRandom random) {
    return (int)
        Math.max(1, jitteredBackoff(MAX_OVERLOAD_INTERVAL_MS, previousFailures, random) - queuedMs);
  }

  /**
   * Exponential backoff with half of it random, so that requests rejected together are not retried
   * together.
   */
  private static int jitteredBackoff(int maxMs, int previousFailures, SplittableRandom random) {
    int backoffMs = Math.min(maxMs, INITIAL_BACKOFF_MS << Math.min(previousFailures, 16));
    return backoffMs / 2 + random.nextInt(backoffMs / 2 + 1);
  }
}
