package nettletrail.router.balance;

/**
 * How slow a backend is beside the others of its service, by the time that its answers took to begin for what was asked of
 * it. An average that follows new observations, and returns to 1 while none come. Pure; {@code now} is in ns.
 */
final class LatencyEstimate {
  private static final double WEIGHT = 0.2;
  private static final double HALF_LIFE_NANOS = 5e9;
  private static final double LEAST = 0.5;
  private static final double MOST = 8;

  private double factor = 1;
  private long updatedAt;

  /**
   * An answer began.
   *
   * @param ratio of the time that it took to the time that the service's backends usually take for as much
   */
  void observe(double ratio, long now) {
    double before = factor(now);
    factor = before + WEIGHT * (Math.min(MOST, Math.max(LEAST, ratio)) - before);
    updatedAt = now;
  }

  /** How many times as long as others it takes. */
  double factor(long now) {
    if (factor == 1) {
      return 1;
    }
    double kept = Math.pow(0.5, Math.max(0, now - updatedAt) / HALF_LIFE_NANOS);
    return 1 + (factor - 1) * kept;
  }
}
