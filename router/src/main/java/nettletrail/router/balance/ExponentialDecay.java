package nettletrail.router.balance;

/** How what was observed loses its weight with time. */
final class ExponentialDecay {
  private static final double HALF_LIFE_NANOS = 5e9;
  private static final double HALF = 0.5;

  private ExponentialDecay() {}

  /** The part that is left of an observation of this age, from 0 to 1. */
  static double kept(long ageNanos) {
    return Math.pow(HALF, Math.max(0, ageNanos) / HALF_LIFE_NANOS);
  }
}
