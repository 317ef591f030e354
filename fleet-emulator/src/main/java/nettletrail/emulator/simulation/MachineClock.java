package nettletrail.emulator.simulation;

/**
 * The two clocks of a machine, in nanoseconds. The steady clock starts at an arbitrary value, runs
 * with a constant drift and never jumps. The time of day can be stepped.
 */
public final class MachineClock {
  private static final double PARTS_PER_MILLION = 1e-6;

  private final VirtualTime time;
  private final long steadyOrigin;
  private final double rate;
  private long timeOfDayOffset;

  /**
   * @param steadyOrigin the steady clock at the start of the run, in nanoseconds
   * @param driftPpm by how many parts per million the clock is fast; negative if it is slow
   */
  public MachineClock(VirtualTime time, long steadyOrigin, double driftPpm) {
    this.time = time;
    this.steadyOrigin = steadyOrigin;
    this.rate = 1 + driftPpm * PARTS_PER_MILLION;
  }

  /** The present value of the steady clock. */
  public long steady() {
    return steadyOrigin + (long) (time.now() * rate);
  }

  /** The present time of day. */
  public long timeOfDay() {
    return time.now() + timeOfDayOffset;
  }

  /** Steps the time of day by a span that may be negative. The steady clock is not affected. */
  public void stepTimeOfDay(long span) {
    timeOfDayOffset += span;
  }
}
