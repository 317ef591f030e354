package nettletrail.control.grant;

/** Measures a tenant's use in consecutive periods of one second. Not thread-safe. */
final class UsageMeter {
  private static final long PERIOD_NANOS = 1_000_000_000L;
  private static final double PER_CENT = 100;

  private long periodStartAt = Long.MIN_VALUE;
  private double currentTokens;
  private double previousTokens;

  /** Counts tokens that were reported as used at {@code now}. */
  void add(long tokens, long now) {
    advance(now);
    currentTokens += tokens;
  }

  /** Use in the last complete period, in per cent of the rate; 0 without a limit. */
  double percentOf(double ratePerSecond, long now) {
    advance(now);
    return ratePerSecond > 0 ? PER_CENT * previousTokens / ratePerSecond : 0;
  }

  private void advance(long now) {
    if (periodStartAt == Long.MIN_VALUE) {
      periodStartAt = now;
    }
    long elapsed = now - periodStartAt;
    if (elapsed >= 2 * PERIOD_NANOS) {
      previousTokens = 0;
      currentTokens = 0;
      periodStartAt = now;
    } else if (elapsed >= PERIOD_NANOS) {
      previousTokens = currentTokens;
      currentTokens = 0;
      periodStartAt += PERIOD_NANOS;
    }
  }
}
