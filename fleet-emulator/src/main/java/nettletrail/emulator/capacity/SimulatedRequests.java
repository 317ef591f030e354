package nettletrail.emulator.capacity;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import nettletrail.control.door.DoorAction;
import nettletrail.control.door.DoorControl;

/**
 * One door's share of requests: each takes quota, waits for it if need be, and does nothing else.
 * Times are steady nanoseconds.
 */
public final class SimulatedRequests {
  /** A request that got no quota for so long is refused. */
  private static final long LONGEST_WAIT = 1_700_000_000L;

  private final ControlDemand demand;
  private final double perSecond;
  private final SplittableRandom random;
  private final RequestCounts counts;
  private final Map<String, Deque<Waiting>> waiting = new HashMap<>();

  /** A request that waits for quota. */
  private record Waiting(long tokens, long since) {}

  /**
   * {@code perSecond}: requests of this door; {@code counts} is shared by the doors of one thread.
   */
  public SimulatedRequests(
      ControlDemand demand, double perSecond, SplittableRandom random, RequestCounts counts) {
    this.demand = demand;
    this.perSecond = perSecond;
    this.random = random;
    this.counts = counts;
  }

  /** Nanoseconds until the next request. */
  public long gap() {
    return ControlDemand.gap(random, perSecond);
  }

  /** A request comes; returns what the control plane does about it. */
  public List<DoorAction> request(DoorControl control, long now) {
    if (control.configurationSequence() == 0) {
      return List.of();
    }
    String tenant = FleetNames.tenant(demand.tenant(random));
    long tokens = ControlDemand.tokens(random);
    counts.asked();
    if (control.grants().tryAcquire(tenant, tokens, now)) {
      counts.letIn(0);
      return List.of();
    }
    waiting.computeIfAbsent(tenant, unseen -> new ArrayDeque<>()).add(new Waiting(tokens, now));
    tellQueued(control, tenant, now);
    return control.poll(now);
  }

  /** Lets in what waits for tenants of which there is more to take. */
  public void retryGrown(DoorControl control, long now) {
    for (String tenant : control.grants().drainReplenishedTenants()) {
      Deque<Waiting> queue = waiting.get(tenant);
      while (queue != null && !queue.isEmpty()) {
        if (!control.grants().tryAcquire(tenant, queue.peek().tokens(), now)) {
          break;
        }
        counts.letIn(now - queue.poll().since());
      }
      settle(control, tenant, queue, now);
    }
  }

  /** Refuses what has waited too long. */
  public void refuseOverdue(DoorControl control, long now) {
    for (String tenant : List.copyOf(waiting.keySet())) {
      Deque<Waiting> queue = waiting.get(tenant);
      while (!queue.isEmpty() && now - queue.peek().since() > LONGEST_WAIT) {
        queue.poll();
        counts.refused();
      }
      settle(control, tenant, queue, now);
    }
  }

  /** Forgets what waits, as a process that ends does. */
  void clear() {
    waiting.clear();
  }

  private void settle(DoorControl control, String tenant, Deque<Waiting> queue, long now) {
    if (queue != null) {
      tellQueued(control, tenant, now);
      if (queue.isEmpty()) {
        waiting.remove(tenant);
      }
    }
  }

  private void tellQueued(DoorControl control, String tenant, long now) {
    long tokens = waiting.get(tenant).stream().mapToLong(Waiting::tokens).sum();
    control.grants().queuedTokensChanged(tenant, tokens, now);
  }
}
