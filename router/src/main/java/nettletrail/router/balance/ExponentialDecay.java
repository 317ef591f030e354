package nettletrail.router.balance;

/** Exponential decay of an observation's weight, with a half-life of 5 s. */
final class ExponentialDecay {
  private static final double HALF_LIFE_NANOS = 5e9;
  private static final double HALF = 0.5;

  private ExponentialDecay() {}

  /** The weight that an observation of this age still has, from 0 to 1. */
  static double remaining(long ageNanos) {
    return Math.pow(HALF, Math.max(0, ageNanos) / HALF_LIFE_NANOS);
  }
}
