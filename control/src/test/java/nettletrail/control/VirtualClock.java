package nettletrail.control;

import java.util.PriorityQueue;

/**
 * A steady clock in nanoseconds that runs from event to event; events of one instant run in order.
 */
class VirtualClock {
  static final long MILLIS = 1_000_000L;

  /** The instant of the event that runs. */
  long now = 7_000_000_000L;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long sequence;

  private record Event(long at, long order, Runnable run) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  /** Runs something later. {@code delay}: nanoseconds from now. */
  final void schedule(long delay, Runnable run) {
    sequence++;
    events.add(new Event(now + delay, sequence, run));
  }

  /** Runs all events of the next milliseconds. */
  final void run(long millis) {
    long until = now + millis * MILLIS;
    while (!events.isEmpty() && events.peek().at() <= until) {
      Event event = events.poll();
      now = event.at();
      event.run().run();
    }
    now = until;
  }
}
