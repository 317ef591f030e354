package nettletrail.emulator.simulation;

import java.util.PriorityQueue;

/**
 * The scheduler of a discrete-event simulation. Time is in nanoseconds since the start of the run
 * and advances from one event to the next. Events of one instant run in the order in which they
 * were scheduled. One thread.
 */
public final class VirtualTime {
  /** One millisecond in the unit of this class. */
  public static final long MILLISECOND = 1_000_000L;

  /** One second in the unit of this class. */
  public static final long SECOND = 1_000 * MILLISECOND;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now;
  private long scheduled;
  private long executed;

  /** The present instant, in nanoseconds. */
  public long now() {
    return now;
  }

  /** The number of events that have run. */
  public long executed() {
    return executed;
  }

  /**
   * Schedules an event at an instant; at the present one, after the events already scheduled for
   * it, if the instant has passed.
   *
   * @return a handle that can cancel the event
   */
  public Event at(long instant, Runnable action) {
    Event event = new Event(Math.max(instant, now), scheduled++, action);
    events.add(event);
    return event;
  }

  /** Schedules an event after a delay in nanoseconds. */
  public Event after(long delay, Runnable action) {
    return at(now + delay, action);
  }

  /**
   * Runs the next event.
   *
   * @return false if there is none
   */
  public boolean runNext() {
    Event event = events.poll();
    if (event == null) {
      return false;
    }
    now = event.instant;
    if (!event.cancelled) {
      executed++;
      event.action.run();
    }
    return true;
  }

  /** Runs all events up to and including an instant, which then is the present one. */
  public void runUntil(long instant) {
    while (!events.isEmpty() && events.peek().instant <= instant) {
      runNext();
    }
    now = Math.max(now, instant);
  }

  /** Runs all events of the next span in nanoseconds. */
  public void runFor(long span) {
    runUntil(now + span);
  }

  /** A scheduled event. */
  public static final class Event implements Comparable<Event> {
    private final long instant;
    private final long order;
    private final Runnable action;
    private boolean cancelled;

    private Event(long instant, long order, Runnable action) {
      this.instant = instant;
      this.order = order;
      this.action = action;
    }

    /** Cancels the event; without effect if it has run. */
    public void cancel() {
      cancelled = true;
    }

    @Override
    public int compareTo(Event other) {
      int byInstant = Long.compare(instant, other.instant);
      return byInstant != 0 ? byInstant : Long.compare(order, other.order);
    }
  }
}
