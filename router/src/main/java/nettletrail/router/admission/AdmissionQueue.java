package nettletrail.router.admission;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The requests for one service that wait at this door, and the bound on those in flight. A free
 * slot goes to the most urgent priority that waits; within it to the tenant with the lowest virtual
 * counter; of its requests to the oldest.
 *
 * @param <E> a request
 */
public final class AdmissionQueue<E extends AdmissionQueue.Entry> {
  /** What the queue needs to know of a request. None of it changes while the request waits. */
  public interface Entry {
    /** Whose it is. */
    String tenantName();

    /** Its rank, 0 first. */
    int rank();
  }

  private final VirtualCounters counters;
  private final TreeMap<Integer, Map<String, ArrayDeque<E>>> waiting = new TreeMap<>();
  private int size;
  private int inFlight;

  /**
   * @param counters shared by the queues of all services
   */
  public AdmissionQueue(VirtualCounters counters) {
    this.counters = counters;
  }

  /** A request waits from now on. */
  public void add(E entry, long now) {
    Map<String, ArrayDeque<E>> tenants =
        waiting.computeIfAbsent(entry.rank(), rank -> new HashMap<>());
    ArrayDeque<E> queue = tenants.get(entry.tenantName());
    if (queue == null) {
      counters.lift(entry.tenantName(), tenants.keySet(), now);
      queue = new ArrayDeque<>();
      tenants.put(entry.tenantName(), queue);
    }
    queue.addLast(entry);
    size++;
  }

  /**
   * A request waits no longer.
   *
   * @return whether it did
   */
  public boolean remove(E entry) {
    Map<String, ArrayDeque<E>> tenants = waiting.get(entry.rank());
    ArrayDeque<E> queue = tenants == null ? null : tenants.get(entry.tenantName());
    if (queue == null || !queue.remove(entry)) {
      return false;
    }
    removed(entry, tenants, queue);
    return true;
  }

  private void removed(E entry, Map<String, ArrayDeque<E>> tenants, ArrayDeque<E> queue) {
    size--;
    if (queue.isEmpty()) {
      tenants.remove(entry.tenantName());
      if (tenants.isEmpty()) {
        waiting.remove(entry.rank());
      }
    }
  }

  /**
   * Takes the request that goes next.
   *
   * @param bound requests in flight, at most
   * @param eligible asked of the oldest request of a tenant; one that is not lets other tenants go
   *     first. It must not change this queue
   * @return null if none may go
   */
  public E poll(int bound, Predicate<E> eligible) {
    if (inFlight >= bound) {
      return null;
    }
    for (Map<String, ArrayDeque<E>> tenants : waiting.values()) {
      E next = min(tenants.values(), eligible);
      if (next != null) {
        ArrayDeque<E> queue = tenants.get(next.tenantName());
        queue.pollFirst();
        removed(next, tenants, queue);
        inFlight++;
        return next;
      }
    }
    return null;
  }

  /** Of the tenants whose oldest request is eligible, that of the lowest counter. */
  private E min(Collection<ArrayDeque<E>> queues, Predicate<E> eligible) {
    if (queues.size() == 1) {
      E only = queues.iterator().next().peekFirst();
      return eligible.test(only) ? only : null;
    }
    ArrayDeque<E> open = new ArrayDeque<>(queues.size());
    queues.forEach(queue -> open.addLast(queue.peekFirst()));
    while (!open.isEmpty()) {
      E min = null;
      for (E each : open) {
        if (min == null || counters.of(each.tenantName()) < counters.of(min.tenantName())) {
          min = each;
        }
      }
      if (eligible.test(min)) {
        return min;
      }
      open.remove(min);
    }
    return null;
  }

  /** A request that was taken is over. */
  public void released() {
    inFlight--;
  }

  /** Requests that were taken and are not over. */
  public int inFlight() {
    return inFlight;
  }

  /** Requests that wait. */
  public int size() {
    return size;
  }

  /** Whether a request of any of these tenants waits. */
  public boolean holdsAny(Collection<String> tenantNames) {
    for (Map<String, ArrayDeque<E>> tenants : waiting.values()) {
      for (String tenant : tenantNames) {
        if (tenants.containsKey(tenant)) {
          return true;
        }
      }
    }
    return false;
  }
}
