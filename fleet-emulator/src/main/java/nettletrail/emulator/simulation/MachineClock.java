package nettletrail.emulator.simulation;

/**
 * The two clocks of a machine. The steady clock starts at an arbitrary value, runs at a rate that
 * differs slightly from true time and never jumps; the time of day may be set to any value. Both in
 * nanoseconds.
 */
public final class MachineClock {
  private static final double PARTS_PER_MILLION = 1e-6;

  private final VirtualTime time;
  private final long steadyOrigin;
  private final double rate;
  private long timeOfDayOffset;

  /**
   * @param steadyOrigin what the steady clock shows at the start of the run, in nanoseconds
   * @param driftPpm by how many parts in a million the clock is fast; negative if it is slow
   */
  public MachineClock(VirtualTime time, long steadyOrigin, double driftPpm) {
    this.time = time;
    this.steadyOrigin = steadyOrigin;
    this.rate = 1 + driftPpm * PARTS_PER_MILLION;
  }

  /** What the steady clock shows now. */
  public long steady() {
    return steadyOrigin + (long) (time.now() * rate);
  }

  /** The first instant of virtual time at which the steady clock shows a value or more. */
  public long instantOf(long steady) {
    return (long) Math.ceil((steady - steadyOrigin) / rate);
  }

  /** What the time of day shows now. */
  public long timeOfDay() {
    return time.now() + timeOfDayOffset;
  }

  /** Steps the time of day by a span that may be negative. The steady clock is not affected. */
  public void stepTimeOfDay(long span) {
    timeOfDayOffset += span;
  }
}
