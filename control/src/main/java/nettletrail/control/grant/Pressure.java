package nettletrail.control.grant;

/** A tenant's use over the last whole period of a second. */
final class Pressure {
  private static final long PERIOD = 1_000_000_000L;
  private static final double PER_CENT = 100;

  private long periodStart = Long.MIN_VALUE;
  private double current;
  private double last;

  void add(long tokens, long now) {
    advance(now);
    current += tokens;
  }

  /** Use over the last whole period in per cent of the rate; 0 without a limit. */
  double percentOf(double ratePerSecond, long now) {
    advance(now);
    return ratePerSecond > 0 ? PER_CENT * last / ratePerSecond : 0;
  }

  private void advance(long now) {
    if (periodStart == Long.MIN_VALUE) {
      periodStart = now;
    }
    long elapsed = now - periodStart;
    if (elapsed >= 2 * PERIOD) {
      last = 0;
      current = 0;
      periodStart = now;
    } else if (elapsed >= PERIOD) {
      last = current;
      current = 0;
      periodStart += PERIOD;
    }
  }
}
