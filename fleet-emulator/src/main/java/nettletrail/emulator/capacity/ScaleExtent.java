package nettletrail.emulator.capacity;

/**
 * How far a scale run goes: the sizes, of which the last is predicted from the others, and the
 * length of each steady window.
 */
public enum ScaleExtent {
  /** Shows only that the run works; its figures are no capacity. */
  TINY(1, 0.1, 10, 4, 6, 8, 10, 12),
  /** Within about a minute and a half. */
  SHORT(4, 0.25, 30, 8, 15, 30, 45, 60),
  /** Up to the size to design for. */
  FULL(6, 1, 60, 30, 60, 90, 120, 380);

  private final int steadySeconds;
  private final double eventShare;
  private final int eventDoors;
  private final int[] doors;

  ScaleExtent(int steadySeconds, double eventShare, int eventDoors, int... doors) {
    this.steadySeconds = steadySeconds;
    this.eventShare = eventShare;
    this.eventDoors = eventDoors;
    this.doors = doors;
  }

  int steadySeconds() {
    return steadySeconds;
  }

  /** Part of the events' whole length that is played, at their usual rates. */
  double eventShare() {
    return eventShare;
  }

  /** The size at which the events are played. */
  int eventDoors() {
    return eventDoors;
  }

  int[] doors() {
    return doors.clone();
  }
}
