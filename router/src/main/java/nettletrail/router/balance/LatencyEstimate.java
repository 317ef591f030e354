package nettletrail.router.balance;

/**
 * Latency of one backend relative to the median of its service: 1 is the median, 2 is twice as
 * slow. It follows the median by steps of a fixed ratio (Frugal streaming, Ma et al., 2013), so
 * that a few outliers, such as prompts that missed the prefix cache, don't make a backend look
 * slow. It decays to 1 while there are no observations.
 *
 * <p>Deterministic; {@code now} is in ns of the steady clock.
 */
final class LatencyEstimate {
  private static final double STEP = 1.12;
  private static final double MIN = 0.5;
  private static final double MAX = 8;

  /** A lower ratio can't be distinguished from noise. */
  private static final double MIN_SLOWDOWN = 1.6;

  private double factor = 1;
  private long updatedAt;

  /**
   * A response began.
   *
   * @param ratio its latency divided by the service's median for the same work
   */
  void observe(double ratio, long now) {
    double before = factor(now);
    double moved = ratio > before ? before * STEP : before / STEP;
    factor = Math.min(MAX, Math.max(MIN, moved));
    updatedAt = now;
  }

  /** Estimated latency relative to the median if it is significant; else 1. */
  double slowdown(long now) {
    double current = factor(now);
    return current < MIN_SLOWDOWN ? 1 : current;
  }

  private double factor(long now) {
    if (factor == 1) {
      return 1;
    }
    return 1 + (factor - 1) * ExponentialDecay.remaining(now - updatedAt);
  }
}
