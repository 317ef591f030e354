package nettletrail.protocol.link;

import java.util.random.RandomGenerator;

/**
 * Delays between attempts, with jitter: each is drawn evenly between the shortest delay and a bound
 * that doubles with each draw up to the longest. Not safe for several threads.
 */
final class ExponentialBackoff {
  private final int minMillis;
  private final int maxMillis;
  private final RandomGenerator random;
  private int boundMillis;

  /** A backoff whose first delay is the shortest one; {@code minMillis <= maxMillis}. */
  ExponentialBackoff(int minMillis, int maxMillis, RandomGenerator random) {
    this.minMillis = minMillis;
    this.maxMillis = maxMillis;
    this.random = random;
    this.boundMillis = minMillis;
  }

  /** Draws the next delay. */
  int nextDelayMillis() {
    int delayMillis = random.nextInt(minMillis, boundMillis + 1);
    boundMillis = Math.min(maxMillis, boundMillis * 2);
    return delayMillis;
  }

  /** Starts over, after an attempt that succeeded. */
  void reset() {
    boundMillis = minMillis;
  }
}
