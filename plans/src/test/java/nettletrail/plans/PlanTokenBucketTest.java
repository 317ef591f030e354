package nettletrail.plans;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import nettletrail.plans.PlanTokenBucket.Bound;
import org.junit.jupiter.api.Test;

/** Over a change of plan, however it falls. */
class PlanTokenBucketTest {
  private static final long SECOND = 1_000_000_000L;
  private static final double ROUNDING = 1e-6;

  private record Use(long at, double units) {}

  /** What a greedy customer uses, in fits, between the two times. */
  private static void greedy(
      PlanTokenBucket store, SplittableRandom random, long from, long to, List<Use> uses) {
    for (long now = from; now < to; now += random.nextLong(SECOND / 2)) {
      double units = random.nextInt(3) == 0 ? 0.5 + random.nextDouble() * 40 : store.units(now);
      if (units > 0 && random.nextInt(4) > 0 && store.use(now, units)) {
        uses.add(new Use(now, units));
      }
    }
  }

  /**
   * No window over the change, however laid, lets more through than the larger of the two plans'
   * bounds.
   */
  @Property(tries = 600, seed = "20261201")
  void noWindowOverAChangeExceedsTheLargerBound(
      @ForAll @IntRange(min = 0, max = 1_000_000) int seed,
      @ForAll @IntRange(min = 0, max = 30) int r1,
      @ForAll @IntRange(min = 0, max = 100) int b1,
      @ForAll @IntRange(min = 0, max = 30) int r2,
      @ForAll @IntRange(min = 0, max = 100) int b2) {
    SplittableRandom random = new SplittableRandom(seed);
    Bound before = new Bound(r1, b1);
    Bound after = new Bound(r2, b2);
    PlanTokenBucket store = new PlanTokenBucket(before, 0);
    List<Use> uses = new ArrayList<>();
    long change = random.nextLong(10 * SECOND);
    greedy(store, random, 0, change, uses);
    double held = store.units(change);
    store.change(change, after);
    assertEquals(
        held,
        store.units(change),
        ROUNDING,
        "nothing that was there is lost, and nothing is added");
    greedy(store, random, change, change + 10 * SECOND, uses);
    for (int i = 0; i < uses.size(); i++) {
      double sum = 0;
      for (int j = i; j < uses.size(); j++) {
        sum += uses.get(j).units();
        if (uses.get(i).at() < change && uses.get(j).at() >= change) {
          long window = uses.get(j).at() - uses.get(i).at();
          double most = Math.max(before.within(window), after.within(window));
          assertTrue(sum <= most + ROUNDING, sum + " in " + window + " ns, " + most + " at most");
        }
      }
    }
  }

  /** Back and forth as often as one likes: a change never adds anything. */
  @Property(tries = 300, seed = "20261201")
  void manyChangesAddNothing(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Bound bound = new Bound(random.nextInt(30), random.nextInt(100));
    PlanTokenBucket store = new PlanTokenBucket(bound, 0);
    double most = bound.burst();
    double filled = 0;
    double used = 0;
    long now = 0;
    for (int i = 0; i < 30; i++) {
      long until = now + random.nextLong(2 * SECOND);
      List<Use> uses = new ArrayList<>();
      greedy(store, random, now, until, uses);
      used += uses.stream().mapToDouble(Use::units).sum();
      filled += bound.ratePerS() * (until - now) / SECOND;
      assertTrue(used <= most + filled + ROUNDING, used + " of " + most + " and " + filled);
      now = until;
      bound = new Bound(random.nextInt(30), random.nextInt(100));
      most = Math.max(most, bound.burst());
      store.change(now, bound);
    }
  }

  @Test
  void whatIsLeftOverIsUsedBeforeTheNewStoreFillsAnew() {
    PlanTokenBucket store = new PlanTokenBucket(new Bound(1, 100), 0);
    store.change(0, new Bound(10, 10));
    assertEquals(100, store.units(0));
    assertTrue(store.use(0, 100));
    assertFalse(store.use(8 * SECOND, 1), "the new store owes what the larger burst gave");
    assertTrue(store.use(9 * SECOND + SECOND / 10, 1));
    assertEquals(10, store.units(60 * SECOND));
  }

  @Test
  void aStoreAboveItsBurstFillsNoMoreUntilItIsBelow() {
    PlanTokenBucket store = new PlanTokenBucket(new Bound(10, 100), 0);
    store.change(0, new Bound(5, 20));
    assertEquals(100, store.units(50 * SECOND), "and doesn't fade");
    assertTrue(store.use(50 * SECOND, 90));
    assertEquals(20, store.units(60 * SECOND));
    store.settle(60 * SECOND, 30);
    assertEquals(66 * SECOND, store.readyAt(62 * SECOND, 20), 1_000.0, "from -10 at 60 s");
    assertEquals(Long.MAX_VALUE, store.readyAt(62 * SECOND, 21), "more than its burst never");
    store.settle(80 * SECOND, -500);
    assertEquals(
        20, store.units(80 * SECOND), "what is given back fills no further than filling does");
  }
}
