package nettletrail.router.stream;

import java.util.concurrent.TimeUnit;
import nettletrail.router.balance.PrefillTimeout;

/**
 * When a request whose backend is silent is better sent elsewhere. Only for requests that may run
 * again. Pure; times are in ns of the steady clock.
 *
 * <p>A pause of one stream may have many causes, most of which pass. It counts for more if nothing
 * at all comes from that backend: a machine that went dark ends no connection.
 */
public final class StallRule {
  private static final double GAPS = 4;
  private static final double TARGETS = 2;
  private static final long MIN_MS = 900;
  private static final double GAPS_OF_DARK = 2;
  private static final long MIN_OF_DARK_MS = 500;

  private StallRule() {}

  /**
   * Whether to give up this send.
   *
   * @param silence since the request was sent or, if later, since the last part of its answer, ns
   * @param answered whether a part of the answer has come
   * @param gapMs longest pause between parts that is in time; 0 if there is none
   * @param targetMs in which the first part is due
   * @param promptTokens that have to be read before the first part
   * @param backendSilent whether nothing has come from the backend for any request of late
   */
  public static boolean isStalled(
      long silence,
      boolean answered,
      int gapMs,
      int targetMs,
      long promptTokens,
      boolean backendSilent) {
    double usual = answered && gapMs > 0 ? GAPS * gapMs : TARGETS * targetMs;
    double max = Math.max(MIN_MS, usual);
    if (backendSilent) {
      max = Math.max(MIN_OF_DARK_MS, gapMs > 0 ? GAPS_OF_DARK * gapMs : targetMs);
    }
    double reading = answered ? 0 : promptTokens * (double) PrefillTimeout.MAX_NANOS_PER_TOKEN;
    return silence > max * TimeUnit.MILLISECONDS.toNanos(1) + reading;
  }
}
