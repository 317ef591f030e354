package nettletrail.router;

import java.util.SplittableRandom;

/** Values of Retry-After for rejected clients, in ms. */
final class RetryAfter {
  private static final long MIN_MS = 250;
  private static final int JITTER_MS = 250;

  /** Clients wait at most this fraction of their time left: one divided by it. */
  private static final long TIME_LEFT_DIVISOR = 3;

  private static final long MAX_MS = 2_500;
  private static final long DEFAULT_OUTAGE_MS = 500;

  private RetryAfter() {}

  /**
   * After an overload: short, with jitter, so that clients which were rejected together don't retry
   * together.
   */
  static long withJitterMs(SplittableRandom random) {
    return MIN_MS + random.nextInt(JITTER_MS);
  }

  /**
   * While the control plane or all backends are missing: their recovery takes about a second and
   * most clients retry only once, so it is as late as a client will wait.
   *
   * @param timeLeftMs of the client; negative if it doesn't state it
   */
  static long afterOutageMs(long timeLeftMs) {
    if (timeLeftMs < 0) {
      return DEFAULT_OUTAGE_MS;
    }
    return Math.max(MIN_MS, Math.min(MAX_MS, timeLeftMs / TIME_LEFT_DIVISOR));
  }
}
