package nettletrail.router.admission;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Queue of the requests for one service at this door, and the limit of those in flight. Strict
 * priority between priorities; within one, fair scheduling of tenants by the lowest virtual counter
 * (VTC); FIFO within a tenant. Not thread-safe; {@code now} is in ns of the steady clock.
 *
 * @param <E> a request
 */
public final class AdmissionQueue<E extends AdmissionQueue.Entry> {
  /** A request. Its tenant and priority don't change while it is queued. */
  public interface Entry {
    /** The tenant's name; empty if there is none. */
    String tenantName();

    /** Its priority, 0 first. */
    int priority();
  }

  private final VirtualCounters counters;
  private final TreeMap<Integer, Map<String, ArrayDeque<E>>> queuesByPriority = new TreeMap<>();
  private int size;
  private int inFlight;

  /**
   * @param counters shared by the queues of all services
   */
  public AdmissionQueue(VirtualCounters counters) {
    this.counters = counters;
  }

  /** Adds a request. */
  public void add(E entry, long now) {
    Map<String, ArrayDeque<E>> tenants =
        queuesByPriority.computeIfAbsent(entry.priority(), priority -> new HashMap<>());
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
   * Removes a request.
   *
   * @return whether it was queued
   */
  public boolean remove(E entry) {
    Map<String, ArrayDeque<E>> tenants = queuesByPriority.get(entry.priority());
    ArrayDeque<E> queue = tenants == null ? null : tenants.get(entry.tenantName());
    if (queue == null || !queue.remove(entry)) {
      return false;
    }
    afterRemoval(entry, tenants, queue);
    return true;
  }

  private void afterRemoval(E entry, Map<String, ArrayDeque<E>> tenants, ArrayDeque<E> queue) {
    size--;
    if (queue.isEmpty()) {
      tenants.remove(entry.tenantName());
      if (tenants.isEmpty()) {
        queuesByPriority.remove(entry.priority());
      }
    }
  }

  /**
   * Removes the request that is next and counts it as in flight, until {@link #releaseSlot}.
   *
   * @param maxInFlight requests in flight at most
   * @param eligible tested on the oldest request of a tenant; if it is false, the other tenants of
   *     the priority and lower priorities are tried. It must not change this queue
   * @return null if no request may be sent
   */
  public E poll(int maxInFlight, Predicate<E> eligible) {
    if (inFlight >= maxInFlight) {
      return null;
    }
    for (Map<String, ArrayDeque<E>> tenants : queuesByPriority.values()) {
      E next = lowestCounter(tenants.values(), eligible);
      if (next != null) {
        ArrayDeque<E> queue = tenants.get(next.tenantName());
        queue.pollFirst();
        afterRemoval(next, tenants, queue);
        inFlight++;
        return next;
      }
    }
    return null;
  }

  /** The oldest request of the tenant with the lowest counter whose oldest is eligible. */
  private E lowestCounter(Collection<ArrayDeque<E>> queues, Predicate<E> eligible) {
    if (queues.size() == 1) {
      E only = queues.iterator().next().peekFirst();
      return eligible.test(only) ? only : null;
    }
    ArrayDeque<E> candidates = new ArrayDeque<>(queues.size());
    queues.forEach(queue -> candidates.addLast(queue.peekFirst()));
    while (!candidates.isEmpty()) {
      E lowest = null;
      for (E candidate : candidates) {
        if (lowest == null
            || counters.of(candidate.tenantName()) < counters.of(lowest.tenantName())) {
          lowest = candidate;
        }
      }
      if (eligible.test(lowest)) {
        return lowest;
      }
      candidates.remove(lowest);
    }
    return null;
  }

  /** A request in flight has ended, or is queued again. */
  public void releaseSlot() {
    inFlight--;
  }

  /** Requests that were polled and whose slot was not released. */
  public int inFlight() {
    return inFlight;
  }

  /** Requests that are queued. */
  public int size() {
    return size;
  }

  /** Whether a request of any of these tenants is queued. */
  public boolean containsAny(Collection<String> tenantNames) {
    for (Map<String, ArrayDeque<E>> tenants : queuesByPriority.values()) {
      for (String tenant : tenantNames) {
        if (tenants.containsKey(tenant)) {
          return true;
        }
      }
    }
    return false;
  }
}
