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
  void aNewProcessHasNoBudget() {
    assertFalse(budget().tryAcquire(1, 0));
  }

  @Test
  void requestsEarnHalfOfTheRatio() {
    RetryBudget budget = budget();
    for (int i = 0; i < 10; i++) {
      budget.recordRequest(1);
    }
    assertTrue(budget.tryAcquire(1_000, 2));
    assertFalse(budget.tryAcquire(1_000, 3));
  }

  @Test
  void aRefundedRetryIsAvailableAgain() {
    RetryBudget budget = budget();
    for (int i = 0; i < 10; i++) {
      budget.recordRequest(1);
    }
    assertTrue(budget.tryAcquire(1_000, 2));
    budget.refund(3);
    assertTrue(budget.tryAcquire(1_000, 4));
  }

  @Test
  void theSlackIsDividedByTheDoorsAndGrowsWithinOneWindow() {
    RetryBudget budget = budget();
    int acquired = 0;
    while (budget.tryAcquire(2, WINDOW)) {
      acquired++;
    }
    assertEquals(13, acquired, "half of 52, by two doors");
  }

  @Test
  void requestsOutsideTheWindowEarnNothing() {
    RetryBudget budget = budget();
    for (int i = 0; i < 100; i++) {
      budget.recordRequest(1);
    }
    assertFalse(budget.tryAcquire(1_000_000, 3 * WINDOW));
  }

  /**
   * The deployment's rule: in any window, retries are at most ratio * requests + slack, over all
   * doors.
   */
  @Property(tries = 300)
  void noWindowExceedsTheDeploymentsLimit(
      @ForAll @Size(min = 1, max = 400) List<@IntRange(min = 0, max = 1_000_000) Integer> steps,
      @ForAll @IntRange(min = 1, max = 4) int doors) {
    List<RetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < doors; i++) {
      budgets.add(budget());
    }
    List<Long> requests = new ArrayList<>();
    List<Long> retries = new ArrayList<>();
    long now = 0;
    for (int step : steps) {
      now += step % 1_000 * TimeUnit.MILLISECONDS.toNanos(1);
      RetryBudget budget = budgets.get(step % doors);
      if (step / 1_000 % 3 == 0) {
        for (int i = 0; i < step / 3_000 % 40; i++) {
          budget.recordRequest(now);
          requests.add(now);
        }
      } else {
        while (budget.tryAcquire(doors, now)) {
          retries.add(now);
        }
      }
    }
    for (long end : retries) {
      long spent = within(retries, end);
      long max =
          Math.max(
              within(requests, end),
              Math.max(within(requests, end - WINDOW), within(requests, end - WINDOW / 2)));
      assertTrue(spent <= RATIO * max + SLACK, spent + " for " + max);
    }
  }

  private static long within(List<Long> times, long end) {
    return times.stream().filter(at -> at <= end && at > end - WINDOW).count();
  }
}
