package nettletrail.emulator.simulation;

/**
 * A machine's share of a core as a quota that other work on the machine uses up in each period: the
 * process runs until the quota is spent, then stands still for the rest of the period.
 *
 * @param runNanos for how long the process runs in each period, above 0
 * @param periodNanos length of a period, more than {@code runNanos}
 * @param offsetNanos when the first period begins, at least 0
 */
public record CpuQuota(long runNanos, long periodNanos, long offsetNanos) {
  /** Checks the values. */
  public CpuQuota {
    if (runNanos <= 0 || periodNanos <= runNanos || offsetNanos < 0) {
      throw new IllegalArgumentException(runNanos + " of " + periodNanos + " at " + offsetNanos);
    }
  }

  /** Whether the process stands still at this instant. */
  boolean isSpent(long now) {
    return elapsed(now) >= runNanos;
  }

  /** How long until the next period begins, in nanoseconds, above 0. */
  long nanosToNextPeriod(long now) {
    return periodNanos - elapsed(now);
  }

  private long elapsed(long now) {
    return Math.floorMod(now - offsetNanos, periodNanos);
  }
}
