package nettletrail.router.stream;

import java.util.concurrent.TimeUnit;
import nettletrail.router.balance.PrefillTimeout;

/**
 * When a stream counts as stalled, so that an idempotent request is better retried at another
 * backend. Pure; times are in ns of the steady clock unless a name says otherwise.
 *
 * <p>A gap in one stream has many causes, most of which pass. The timeout is shorter if the backend
 * sends nothing for any request: a host that lost its power or its network closes no connection.
 */
public final class StallRule {
  private static final double MAX_GAPS = 4;
  private static final double MAX_TARGETS = 2;
  private static final long MIN_TIMEOUT_MS = 900;
  private static final double MAX_GAPS_IF_UNRESPONSIVE = 2;
  private static final long MIN_TIMEOUT_IF_UNRESPONSIVE_MS = 500;

  private StallRule() {}

  /**
   * Whether the attempt has stalled.
   *
   * @param idleNanos since the request was sent or, if later, since the last bytes of its response
   * @param responseStarted whether bytes of the response's body were received
   * @param gapMs the route's longest gap between events; 0 if it has none
   * @param targetMs the route's latency target for the first bytes
   * @param promptTokens that are prefilled before the first bytes
   * @param backendUnresponsive whether the backend's idle timeout has passed for all its requests
   */
  public static boolean isStalled(
      long idleNanos,
      boolean responseStarted,
      int gapMs,
      int targetMs,
      long promptTokens,
      boolean backendUnresponsive) {
    double timeoutMs =
        backendUnresponsive
            ? unresponsiveTimeoutMs(gapMs, targetMs)
            : timeoutMs(responseStarted, gapMs, targetMs);
    double prefillNanos =
        responseStarted ? 0 : promptTokens * (double) PrefillTimeout.MAX_NANOS_PER_TOKEN;
    return idleNanos > timeoutMs * TimeUnit.MILLISECONDS.toNanos(1) + prefillNanos;
  }

  private static double timeoutMs(boolean responseStarted, int gapMs, int targetMs) {
    double usual = responseStarted && gapMs > 0 ? MAX_GAPS * gapMs : MAX_TARGETS * targetMs;
    return Math.max(MIN_TIMEOUT_MS, usual);
  }

  private static double unresponsiveTimeoutMs(int gapMs, int targetMs) {
    double usual = gapMs > 0 ? MAX_GAPS_IF_UNRESPONSIVE * gapMs : targetMs;
    return Math.max(MIN_TIMEOUT_IF_UNRESPONSIVE_MS, usual);
  }
}
