package nettletrail.emulator.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import nettletrail.emulator.explore.ExplorationBounds.Steps;
import org.junit.jupiter.api.Test;

/** Explores all states within limits over the real decider, and finds a mutant. */
class ExplorerTest {
  private static final int UNBOUNDED = Integer.MAX_VALUE;

  @Test
  void everyOrderOfMessagesWithOneCrash() {
    assertHolds(new ExplorationBounds(Steps.MESSAGES, 5, 2, 1, 1, 0, UNBOUNDED));
  }

  @Test
  void everyOrderOfMessagesWithOneWipe() {
    assertHolds(new ExplorationBounds(Steps.MESSAGES, 5, 2, 1, 0, 1, UNBOUNDED));
  }

  @Test
  void everySequenceOfRoundsWithOneCrashAndOneWipe() {
    assertHolds(new ExplorationBounds(Steps.ROUNDS, 4, 2, 0, 1, 1, UNBOUNDED));
  }

  @Test
  void anIdentityThatOutlivesItsDiskIsFound() {
    ExplorationBounds bounds = new ExplorationBounds(Steps.ROUNDS, 6, 2, 0, 0, 1, UNBOUNDED);
    Explorer.Result result = new Explorer(bounds, true).explore();
    System.out.println("explored a mutant: " + result);
    assertTrue(result.violation().contains("two replicas own the shard"), result::violation);
  }

  private static void assertHolds(ExplorationBounds bounds) {
    Explorer.Result result = new Explorer(bounds).explore();
    System.out.println("explored " + bounds + ": " + result);
    assertEquals("", result.violation());
    assertTrue(result.complete());
  }
}
