package nettletrail.emulator.checker;

/**
 * A guarantee that was observed to be violated.
 *
 * @param instant virtual time of the observation, in nanoseconds
 * @param what the observation in words
 */
public record Violation(Guarantee guarantee, long instant, String what) {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  @Override
  public String toString() {
    return String.format("%s at %.3f s: %s", guarantee, instant / NANOSECONDS_PER_SECOND, what);
  }
}
