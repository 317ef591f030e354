package nettletrail.router.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
  private static final long WINDOW = TimeUnit.SECONDS.toNanos(10);
  private static final double RATIO = 0.2;
  private static final double SLACK = 52;

  private static RetryBudget budget() {
    return new RetryBudget(RATIO, SLACK, WINDOW, 0);
  }

  @Test
  void aNewProcessHasNone() {
    assertFalse(budget().take(1, 0));
  }

  @Test
  void firstSendsEarnHalfOfTheRatio() {
    RetryBudget budget = budget();
    for (int i = 0; i < 10; i++) {
      budget.firstSend(1);
    }
    assertTrue(budget.take(1_000, 2));
    assertFalse(budget.take(1_000, 3));
  }

  @Test
  void whatWasNotSentIsGivenBack() {
    RetryBudget budget = budget();
    for (int i = 0; i < 10; i++) {
      budget.firstSend(1);
    }
    assertTrue(budget.take(1_000, 2));
    budget.refund(3);
    assertTrue(budget.take(1_000, 4));
  }

  @Test
  void theSlackIsSharedByTheDoorsAndGrowsInOneWindow() {
    RetryBudget budget = budget();
    int taken = 0;
    while (budget.take(2, WINDOW)) {
      taken++;
    }
    assertEquals(13, taken, "half of 52, by two doors");
  }

  @Test
  void whatWasEarnedLongAgoIsNotSpent() {
    RetryBudget budget = budget();
    for (int i = 0; i < 100; i++) {
      budget.firstSend(1);
    }
    assertFalse(budget.take(1_000_000, 3 * WINDOW));
  }

  /**
   * The deployment's rule: in any window, further sends are at most ratio * requests + slack, over
   * all doors.
   */
  @Property(tries = 300)
  void noWindowHasMoreThanTheDeploymentAllows(
      @ForAll @Size(min = 1, max = 400) List<@IntRange(min = 0, max = 1_000_000) Integer> steps,
      @ForAll @IntRange(min = 1, max = 4) int doors) {
    List<RetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < doors; i++) {
      budgets.add(budget());
    }
    List<Long> firsts = new ArrayList<>();
    List<Long> furthers = new ArrayList<>();
    long now = 0;
    for (int step : steps) {
      now += step % 1_000 * TimeUnit.MILLISECONDS.toNanos(1);
      RetryBudget budget = budgets.get(step % doors);
      if (step / 1_000 % 3 == 0) {
        for (int i = 0; i < step / 3_000 % 40; i++) {
          budget.firstSend(now);
          firsts.add(now);
        }
      } else {
        while (budget.take(doors, now)) {
          furthers.add(now);
        }
      }
    }
    for (long end : furthers) {
      long spent = within(furthers, end);
      long max =
          Math.max(
              within(firsts, end),
              Math.max(within(firsts, end - WINDOW), within(firsts, end - WINDOW / 2)));
      assertTrue(spent <= RATIO * max + SLACK, spent + " for " + max);
    }
  }

  private static long within(List<Long> times, long end) {
    return times.stream().filter(at -> at <= end && at > end - WINDOW).count();
  }
}
