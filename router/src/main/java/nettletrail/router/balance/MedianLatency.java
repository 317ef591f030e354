package nettletrail.router.balance;

/**
 * Running median of the time that a service's backends take for a unit of work, by steps of a fixed
 * ratio. The first observation sets it.
 */
final class MedianLatency {
  private static final double STEP = 1.04;

  /** 0 while there is no observation. */
  private double nanosPerUnit;

  /**
   * Adds an observation.
   *
   * @return the observation divided by the median that includes it
   */
  double observe(double observedNanosPerUnit) {
    if (nanosPerUnit == 0) {
      nanosPerUnit = observedNanosPerUnit;
    }
    nanosPerUnit *= observedNanosPerUnit > nanosPerUnit ? STEP : 1 / STEP;
    return observedNanosPerUnit / nanosPerUnit;
  }
}
