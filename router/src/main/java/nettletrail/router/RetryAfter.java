package nettletrail.router;

import java.util.SplittableRandom;

/** When a client that is refused may come again, in ms. */
final class RetryAfter {
  private static final long MIN_MS = 250;
  private static final int SPREAD_MS = 250;

  /** Clients wait no longer than that part of the time that they have left. */
  private static final long MAX_PART_OF_TIME_LEFT = 3;

  private static final long MAX_MS = 2_500;
  private static final long DEFAULT_OUTAGE_MS = 500;

  private RetryAfter() {}

  /**
   * Where it is only full: soon, and spread, so that clients that were refused together don't come
   * back together.
   */
  static long whenFullMs(SplittableRandom random) {
    return MIN_MS + random.nextInt(SPREAD_MS);
  }

  /**
   * Where it is the control plane or all backends that are missing: those take a second or so to
   * come back, and most clients come again but once. So it is as late as a client will wait.
   *
   * @param timeLeftMs of the client; negative if it does not say
   */
  static long afterOutageMs(long timeLeftMs) {
    if (timeLeftMs < 0) {
      return DEFAULT_OUTAGE_MS;
    }
    return Math.max(MIN_MS, Math.min(MAX_MS, timeLeftMs / MAX_PART_OF_TIME_LEFT));
  }
}
