package nettletrail.emulator.checker;

/**
 * A promise that was seen broken.
 *
 * @param instant when, in nanoseconds of virtual time
 * @param what who did what
 */
public record Violation(Guarantee guarantee, long instant, String what) {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  @Override
  public String toString() {
    return String.format("%s at %.3f s: %s", guarantee, instant / NANOSECONDS_PER_SECOND, what);
  }
}
