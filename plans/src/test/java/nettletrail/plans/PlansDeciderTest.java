package nettletrail.plans;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import nettletrail.plans.PlanTokenBucket.Bound;
import nettletrail.plans.PlansDecider.Accepted;
import nettletrail.plans.PlansDecider.QuotaExceeded;
import nettletrail.plans.Timeline.Change;
import nettletrail.plans.Timeline.ChangeResult;
import org.junit.jupiter.api.Test;

/** Which plan a request is charged under, whatever way changes come. */
class PlansDeciderTest {
  private static final long SECOND = 1_000_000_000L;
  private static final long MS = 1_000_000L;
  private static final long WALL = 1_700_000_000_000L;
  private static final Map<String, Bound> PLANS =
      Map.of(
          "mini", new Bound(6, 24), "standard", new Bound(12, 48), "business", new Bound(30, 60));

  private final PlansDecider decider = new PlansDecider(new PlansDecider.Terms(500, 3), PLANS);

  private static Change change(long number, long afterMs, String plan) {
    return new Change(number, WALL + afterMs, plan, "jh");
  }

  private ChangeResult decided(long wallAfterMs, Change change) {
    return decider.change(WALL + wallAfterMs, 7, "mini", change);
  }

  private String planAt(long ms) {
    var verdict = decider.accept(ms * MS, WALL + ms, 7, "mini", 1, 0.001);
    return ((Accepted) verdict).plan() + " " + ((Accepted) verdict).number();
  }

  @Test
  void aRequestIsChargedUnderThePlanInForceWhenItIsAccepted() {
    assertEquals("mini 1", planAt(0));
    assertEquals(ChangeResult.ACCEPTED, decided(0, change(2, 1_000, "business")));
    assertEquals("mini 1", planAt(999));
    assertEquals("business 2", planAt(1_000));
    assertEquals(
        "business 2",
        planAt(900),
        "an instant that was reached stays reached, though the wall clock goes back");
  }

  @Test
  void changesComeLateTwiceAndOutOfOrder() {
    planAt(0);
    assertEquals(ChangeResult.ACCEPTED, decided(0, change(4, 3_000, "business")));
    assertEquals(
        ChangeResult.ACCEPTED,
        decided(0, change(3, 2_000, "standard")),
        "decided before, and for an earlier instant");
    assertEquals(ChangeResult.DUPLICATE, decided(0, change(3, 2_000, "standard")));
    assertEquals(ChangeResult.CONFLICTING, decided(0, change(3, 2_000, "business")));
    assertEquals(ChangeResult.SUPERSEDED, decided(0, change(2, 3_000, "mini")));
    assertEquals(
        ChangeResult.ACCEPTED,
        decided(0, change(5, 3_000, "mini")),
        "a later decision for the same instant");
    assertEquals(ChangeResult.UNKNOWN_PLAN, decided(0, change(6, 9_000, "gold")));
    assertEquals("standard 3", planAt(2_000));
    assertEquals("mini 5", planAt(3_000));
    assertEquals(
        ChangeResult.RETROACTIVE,
        decided(4_000, change(7, 3_400, "business")),
        "the past is charged");
    assertEquals(
        ChangeResult.ACCEPTED,
        decided(4_000, change(8, 3_600, "business")),
        "late by less than the way here takes");
    assertEquals("business 8", planAt(4_000));
    assertTrue(decider.define("gold", new Bound(1, 1)) && !decider.define("gold", new Bound(2, 1)));
    assertEquals(ChangeResult.ACCEPTED, decided(4_000, change(6, 9_000, "gold")));
    assertEquals(List.of("business", "gold"), decider.plans(7).stream().map(Change::plan).toList());
  }

  @Test
  void aRefusalSaysWhenItCouldBe() {
    decider.accept(0, WALL, 7, "mini", 2, 12);
    QuotaExceeded verdict =
        assertInstanceOf(QuotaExceeded.class, decider.accept(0, WALL, 7, "mini", 2, 3));
    assertEquals(SECOND, verdict.retryAfterNs(), 1.0 * MS, "3 units at half of 6 a second");
  }

  /**
   * Hard case 1: 6.5 times the quota at three front doors that hear of the change 1 and 400 ms
   * apart.
   */
  @Test
  void aBurstOverAChangeHeardAtDifferentTimesStaysWithinTheLargerBound() {
    for (boolean up : new boolean[] {true, false}) {
      String first = up ? "mini" : "business";
      String next = up ? "business" : "mini";
      double let = 0;
      long[] heardMs = {5_000, 5_001, 5_400};
      PlansDecider[] doors = new PlansDecider[3];
      for (int i = 0; i < 3; i++) {
        doors[i] = new PlansDecider(new PlansDecider.Terms(500, 10), PLANS);
      }
      for (long ms = 0; ms < 10_000; ms++) {
        for (int i = 0; i < 3; i++) {
          if (ms == heardMs[i]) {
            assertEquals(
                ChangeResult.ACCEPTED,
                doors[i].change(WALL + ms, 7, first, change(2, 5_000, next)));
          }
          double units = 6.5 * 30 / 1_000 / 3;
          let +=
              doors[i].accept(ms * MS, WALL + ms, 7, first, 3, units) instanceof Accepted
                  ? units
                  : 0;
        }
      }
      double larger = PLANS.get("business").within(10 * SECOND);
      assertTrue(let <= larger, let + " of " + larger);
      double least = PLANS.get("mini").within(10 * SECOND);
      assertTrue(
          let > least,
          let + " more than " + least + ": nothing is cut to less than the smaller plan");
    }
  }

  @Test
  void theNumberOfCustomersIsBoundAndIdleOnesMakeRoom() {
    for (int i = 0; i < 3; i++) {
      decider.accept(0, WALL, i, "mini", 1, 1);
    }
    assertInstanceOf(PlansDecider.TooManyCustomers.class, decider.accept(0, WALL, 9, "mini", 1, 1));
    assertInstanceOf(Accepted.class, decider.accept(SECOND, WALL, 9, "mini", 1, 1));
    assertEquals(3, decider.status().customers());
  }

  @Test
  void anotherSetIsAnotherPart() {
    decider.accept(0, WALL, 7, "business", 1, 0.001);
    assertInstanceOf(
        Accepted.class, decider.accept(0, WALL, 7, "business", 3, 59), "what was there stays");
    assertInstanceOf(
        QuotaExceeded.class,
        decider.accept(SECOND, WALL, 7, "business", 3, 11),
        "10 a second from now on");
    assertInstanceOf(Accepted.class, decider.accept(SECOND, WALL, 7, "business", 3, 10.5));
  }
}
