package nettletrail.emulator.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Every sequence, within limits, of wipes, replacements, partitions, stalled disks and losses of
 * power that a core has to tolerate: after each step, any further loss that it has to tolerate
 * leaves a majority with the acknowledged configuration. More transitions are explored with {@code
 * -Demulator.transitions=6}.
 */
class GroupChangeExplorationTest {
  private static final int UNBOUNDED = Integer.MAX_VALUE;
  private static final int TRANSITIONS_OF_THREE = Integer.getInteger("emulator.transitions", 4);
  private static final int TRANSITIONS_OF_FIVE = Integer.getInteger("emulator.transitions", 3);

  private static final int TRANSITIONS_OF_TWO_REPLACEMENTS =
      Integer.getInteger("emulator.transitions", 8);
  private static final int TRANSITIONS_OF_ONE_REPLACEMENT =
      Integer.getInteger("emulator.transitions", 6);

  @Test
  void threeMachinesWithstandOneLossAfterTheOther() {
    assertHolds(GroupChangeBounds.three(TRANSITIONS_OF_THREE, 2, 1));
  }

  @Test
  void fiveMachinesWithstandTwoLossesAtOnce() {
    assertHolds(GroupChangeBounds.five(TRANSITIONS_OF_FIVE, 3, 1));
  }

  /** Review/4: members that had left counted for ever, so that one more loss took the majority. */
  @Test
  void threeMachinesWithstandALossAfterEachPlannedReplacement() {
    assertHolds(GroupChangeBounds.threeReplaced(TRANSITIONS_OF_TWO_REPLACEMENTS, 2));
  }

  @Test
  void fiveMachinesWithstandTwoLossesAfterAPlannedReplacement() {
    assertHolds(GroupChangeBounds.fiveReplaced(TRANSITIONS_OF_ONE_REPLACEMENT, 1));
  }

  @Test
  void aRepairThatEndsAfterTheTimeToCatchUpIsFound() {
    long shorterThanTheRepair = TimeUnit.SECONDS.toNanos(2);
    Explorer.Result result =
        explore(new GroupChangeBounds(3, 1, shorterThanTheRepair, 4, 1, 2, 1, 3, 0));
    System.out.println("explored group changes that end too late: " + result);
    assertTrue(result.violation().contains("no majority of the committed group"));
  }

  private static void assertHolds(GroupChangeBounds bounds) {
    Explorer.Result result = explore(bounds);
    System.out.println("explored " + bounds + ": " + result);
    assertEquals("", result.violation());
    assertTrue(result.complete());
  }

  private static Explorer.Result explore(GroupChangeBounds bounds) {
    return new Explorer(() -> new GroupChangeSystem(bounds), bounds.transitions(), UNBOUNDED)
        .explore();
  }
}
