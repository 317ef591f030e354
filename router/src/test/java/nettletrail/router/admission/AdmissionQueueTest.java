package nettletrail.router.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
  private record Request(String tenantName, int priority, int number)
      implements AdmissionQueue.Entry {}

  private static final int NO_LIMIT = 1_000;
  private final VirtualCounters counters = new VirtualCounters();
  private final AdmissionQueue<Request> queue = new AdmissionQueue<>(counters);

  private Request add(String tenant, int priority, int number) {
    Request request = new Request(tenant, priority, number);
    queue.add(request, 0);
    return request;
  }

  private Request poll() {
    return queue.poll(NO_LIMIT, request -> true);
  }

  @Test
  void theOldestRequestOfTheLowestCounterIsPolledFirst() {
    counters.charge("a", 1_000, 0);
    counters.charge("b", 10, 0);
    add("a", 0, 1);
    Request oldest = add("b", 0, 2);
    add("b", 0, 3);
    assertEquals(oldest, poll());
  }

  @Test
  void theNextTenantChangesAsTheCountersGrow() {
    Request first = add("a", 0, 1);
    Request second = add("a", 0, 2);
    Request third = add("b", 0, 3);
    assertEquals(first, poll());
    counters.charge("a", 100, 0);
    assertEquals(third, poll());
    counters.charge("b", 200, 0);
    assertEquals(second, poll());
    assertNull(poll());
  }

  @Test
  void priorityPrecedesTheCounter() {
    counters.charge("a", 1_000_000, 0);
    add("b", 1, 1);
    Request urgent = add("a", 0, 2);
    assertEquals(urgent, poll());
  }

  @Test
  void pollReturnsNothingAtTheLimitInFlight() {
    add("a", 0, 1);
    Request second = add("a", 0, 2);
    queue.poll(1, request -> true);
    assertNull(queue.poll(1, request -> true));
    queue.releaseSlot();
    assertEquals(second, queue.poll(1, request -> true));
  }

  @Test
  void anIneligibleRequestDoesNotBlockOtherTenants() {
    Request waiting = add("a", 0, 1);
    Request other = add("b", 0, 2);
    assertEquals(other, queue.poll(NO_LIMIT, request -> !request.equals(waiting)));
    assertNull(queue.poll(NO_LIMIT, request -> !request.equals(waiting)));
    assertEquals(waiting, poll());
  }

  @Test
  void anIneligibleRequestBlocksLaterOnesOfItsTenant() {
    Request first = add("a", 0, 1);
    add("a", 0, 2);
    assertNull(queue.poll(NO_LIMIT, request -> !request.equals(first)));
  }

  @Test
  void aRemovedRequestIsNotPolled() {
    Request first = add("a", 0, 1);
    Request second = add("a", 0, 2);
    assertTrue(queue.remove(first));
    assertFalse(queue.remove(first));
    assertEquals(1, queue.size());
    assertEquals(second, poll());
    assertEquals(0, queue.size());
    assertEquals(1, queue.inFlight());
  }

  @Test
  void containsAnyFindsTenantsWithQueuedRequests() {
    add("a", 0, 1);
    assertTrue(queue.containsAny(List.of("b", "a")));
    assertFalse(queue.containsAny(List.of("b")));
  }
}
