package nettletrail.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import nettletrail.extproc.DeduplicationDecider.Reason;
import nettletrail.extproc.DeduplicationDecider.Result;
import nettletrail.extproc.DeduplicationDecider.State;
import nettletrail.extproc.DeduplicationDecider.TrackedRequest;
import org.junit.jupiter.api.Test;

class DeduplicationDeciderTest {
  private static final long SECOND = 1_000_000_000L;
  private final DeduplicationDecider deduplication =
      new DeduplicationDecider(100, 1_000, 60 * SECOND);

  private TrackedRequest accept(String id, boolean unsafe) {
    return assertInstanceOf(Result.Accepted.class, deduplication.decide(id, unsafe, "w", 1, 0))
        .request();
  }

  private void assertRejected(
      Reason reason, String id, boolean unsafe, Object what, int attempt, long now) {
    assertEquals(new Result.Rejected(reason), deduplication.decide(id, unsafe, what, attempt, now));
  }

  /** Covers the state table in the class's Javadoc, row by row, for an unsafe id. */
  @Test
  void repeatedUnsafeIdIsForwardedAtMostOnce() {
    assertRejected(Reason.NOT_SEEN, "a", true, "w", 2, 0);
    TrackedRequest first = accept("a", true);
    assertSame(
        first,
        assertInstanceOf(Result.Superseding.class, deduplication.decide("a", true, "w", 2, 0))
            .request());
    deduplication.markForwarded(first);
    assertRejected(Reason.PERHAPS_RAN, "a", true, "w", 1, 0);
    deduplication.perhapsRan(first, 0);
    assertRejected(Reason.PERHAPS_RAN, "a", true, "w", 2, 0);

    TrackedRequest withdrawn = accept("b", true);
    deduplication.neverRan(withdrawn, 0);
    TrackedRequest again =
        assertInstanceOf(Result.Accepted.class, deduplication.decide("b", true, "w", 2, 0))
            .request();
    deduplication.markForwarded(again);
    deduplication.neverRan(again, 0);
    assertRejected(Reason.NEVER_RAN, "b", true, "w", 2, 0);
  }

  @Test
  void safeIdIsAcceptedAgainAfterDecision() {
    TrackedRequest first = accept("a", false);
    assertInstanceOf(Result.Superseding.class, deduplication.decide("a", false, "w", 2, 0));
    deduplication.markForwarded(first);
    TrackedRequest second =
        assertInstanceOf(Result.Accepted.class, deduplication.decide("a", false, "w", 2, 0))
            .request();
    deduplication.perhapsRan(first, 0);
    assertSame(second, deduplication.find("a"), "the first's completion doesn't affect the second");
    deduplication.neverRan(second, 0);
    assertEquals(0, deduplication.ids(), "safe ids are not retained");
  }

  @Test
  void idOfAnotherRequestIsRejectedInAnyState() {
    TrackedRequest first = accept("a", true);
    assertRejected(Reason.IN_USE, "a", true, "other", 1, 0);
    deduplication.markForwarded(first);
    assertRejected(Reason.IN_USE, "a", false, "other", 1, 0);
    deduplication.perhapsRan(first, 0);
    assertRejected(Reason.IN_USE, "a", true, "other", 1, 0);
  }

  /** A safe request can't reuse the id of an unsafe one to bypass the rule. */
  @Test
  void unsafeRuleAppliesToSafeRequestWithSameId() {
    TrackedRequest first = accept("a", true);
    deduplication.markForwarded(first);
    assertRejected(Reason.PERHAPS_RAN, "a", false, "w", 1, 0);
  }

  @Test
  void atLimitsRequestsAreRejectedAndNoIdIsEvicted() {
    DeduplicationDecider small = new DeduplicationDecider(2, 3, 10 * SECOND);
    TrackedRequest a = ((Result.Accepted) small.decide("a", true, "w", 1, 0)).request();
    TrackedRequest b = ((Result.Accepted) small.decide("b", true, "w", 1, 0)).request();
    assertEquals(new Result.Rejected(Reason.FULL), small.decide("c", true, "w", 1, 0));
    small.markForwarded(a);
    small.perhapsRan(a, 0);
    small.markForwarded(b);
    small.perhapsRan(b, SECOND);
    TrackedRequest c = ((Result.Accepted) small.decide("c", true, "w", 1, SECOND)).request();
    small.neverRan(c, SECOND);
    assertEquals(new Result.Rejected(Reason.FULL), small.decide("d", true, "w", 1, SECOND));
    assertEquals(
        new Result.Rejected(Reason.PERHAPS_RAN), small.decide("a", true, "w", 2, 10 * SECOND - 1));
    assertEquals(
        new Result.Rejected(Reason.NOT_SEEN), small.decide("a", true, "w", 2, 10 * SECOND));
    assertInstanceOf(Result.Accepted.class, small.decide("d", true, "w", 1, 10 * SECOND));
  }

  @Test
  void invalidTransitionThrows() {
    TrackedRequest request = accept("a", true);
    assertThrows(IllegalStateException.class, () -> deduplication.perhapsRan(request, 0));
    deduplication.markForwarded(request);
    assertThrows(IllegalStateException.class, () -> deduplication.markForwarded(request));
    deduplication.perhapsRan(request, 0);
    assertThrows(IllegalStateException.class, () -> deduplication.neverRan(request, 0));
    assertThrows(IllegalStateException.class, () -> deduplication.perhapsRan(request, 0));
  }

  /**
   * Runs decision requests, decisions, outcomes and time steps in any order over few ids, so that
   * ids collide: an unsafe id is forwarded at most once while it is retained, the count of open
   * requests is right, and no limit is exceeded.
   */
  @Property(tries = 400, seed = "20261201")
  void unsafeIdIsForwardedOnceInAnyOrderOfEvents(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 8) int maxOpen,
      @ForAll @IntRange(min = 8, max = 14) int maxIds) {
    SplittableRandom random = new SplittableRandom(seed);
    long memory = 20;
    DeduplicationDecider decider = new DeduplicationDecider(maxOpen, maxIds, memory);
    List<TrackedRequest> open = new ArrayList<>();
    Map<String, Long> handedOutAt = new HashMap<>();
    Map<String, Long> endedAt = new HashMap<>();
    long now = 0;
    for (int step = 0; step < 400; step++) {
      now += random.nextInt(4);
      if (open.isEmpty() || random.nextInt(3) == 0) {
        int number = random.nextInt(12);
        String id = "id" + number;
        Result ruling =
            decider.decide(
                id, number % 2 == 0, "w" + random.nextInt(20) / 19, random.nextInt(3), now);
        if (ruling instanceof Result.Accepted accept) {
          open.add(accept.request());
          assertEquals(State.AWAITING_DECISION, accept.request().state());
          Long before = handedOutAt.get(id);
          if (number % 2 == 0 && before != null) {
            Long end = endedAt.get(id);
            assertTrue(end != null && now - end >= memory, id + " accepted at " + now + " again");
            handedOutAt.remove(id);
          }
        } else if (ruling instanceof Result.Superseding instead) {
          assertEquals(State.AWAITING_DECISION, instead.request().state());
        }
      } else {
        TrackedRequest request = open.get(random.nextInt(open.size()));
        if (request.state() == State.AWAITING_DECISION && random.nextBoolean()) {
          decider.markForwarded(request);
          if (request.unsafe()) {
            assertEquals(
                null, handedOutAt.put(request.id(), now), request.id() + " forwarded twice");
            endedAt.remove(request.id());
          }
        } else {
          open.remove(request);
          if (request.state() == State.FORWARDED && random.nextBoolean()) {
            decider.perhapsRan(request, now);
          } else {
            decider.neverRan(request, now);
          }
          endedAt.put(request.id(), now);
        }
      }
      assertEquals(open.size(), decider.open());
      assertTrue(
          decider.open() <= maxOpen && decider.ids() <= maxIds,
          decider.open() + " open, " + decider.ids() + " ids");
    }
  }
}
