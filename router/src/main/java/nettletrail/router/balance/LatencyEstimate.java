package nettletrail.router.balance;

/**
 * How slow a backend is beside the others of its service, by the time that its answers took to
 * begin for what was asked of it. It follows the median: each observation moves it by the same
 * small step, so that a few answers that took very long for reasons of their own, as a prompt that
 * had to be read anew, don't make a backend look slow. It returns to 1 while no observations come.
 * Pure; {@code now} is in ns.
 */
final class LatencyEstimate {
  private static final double STEP = 1.12;
  private static final double MIN = 0.5;
  private static final double MAX = 8;

  /** Less is not told from chance. */
  private static final double MIN_SLOWDOWN = 1.6;

  private double factor = 1;
  private long updatedAt;

  /**
   * An answer began.
   *
   * @param ratio of the time that it took to the time that the service's backends usually take for
   *     as much
   */
  void observe(double ratio, long now) {
    double before = factor(now);
    double moved = ratio > before ? before * STEP : before / STEP;
    factor = Math.min(MAX, Math.max(MIN, moved));
    updatedAt = now;
  }

  /**
   * How many times as long as others it takes, if that is beyond what chance makes of it; else 1.
   */
  double slowdown(long now) {
    double current = factor(now);
    return current < MIN_SLOWDOWN ? 1 : current;
  }

  private double factor(long now) {
    if (factor == 1) {
      return 1;
    }
    return 1 + (factor - 1) * ExponentialDecay.kept(now - updatedAt);
  }
}
