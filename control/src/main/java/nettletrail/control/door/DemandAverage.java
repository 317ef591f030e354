package nettletrail.control.door;

/**
 * A tenant's demand, as an exponentially decaying average. Instants are nanoseconds of the steady
 * clock.
 */
final class DemandAverage {
  private static final double NANOS_PER_SECOND = 1e9;

  /** After this time a request counts for 1/e. */
  private static final double TIME_CONSTANT_NANOS = 3e9;

  private double tokens;
  private double requests;
  private long decayedAt;

  DemandAverage(long now) {
    this.decayedAt = now;
  }

  /** A request used tokens. */
  void record(long requestTokens, long now) {
    decay(now);
    tokens += requestTokens;
    requests++;
  }

  double tokensPerSecond(long now) {
    decay(now);
    return tokens * NANOS_PER_SECOND / TIME_CONSTANT_NANOS;
  }

  /** The tokens of so many requests of average size; requires demand, as {@link #isZero} says. */
  double tokensOfRequests(int count) {
    return count * tokens / requests;
  }

  /** Whether there was no request yet, or none for so long that nothing is left of it. */
  boolean isZero() {
    return requests == 0;
  }

  private void decay(long now) {
    double remaining = Math.exp(-(now - decayedAt) / TIME_CONSTANT_NANOS);
    tokens *= remaining;
    requests *= remaining;
    decayedAt = now;
  }
}
