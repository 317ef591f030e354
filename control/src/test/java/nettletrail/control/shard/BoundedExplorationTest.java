package nettletrail.control.shard;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Bounded model checking: explores every run of three replicas over two elections, with each choice
 * of a replica that is partitioned during the first and the second, that differs from the usual
 * order in at most {@code shard.deviations} steps. A deviation is a message or storage operation
 * out of order or lost, a crash, or a lease that expires.
 */
class BoundedExplorationTest {

  private static final int DEVIATIONS = Integer.getInteger("shard.deviations", 1);
  private static final List<Integer> PARTITIONED = List.of(ExploredShard.NONE, 0, 1, 2);

  @Test
  void givenThreeReplicas_whenFewStepsDeviate_thenOneOwnerAndNoCommittedVersionIsLost() {
    long runs = 0;
    long commits = 0;
    for (int first : PARTITIONED) {
      for (int second : PARTITIONED) {
        ChoiceSequence choices = new ChoiceSequence(DEVIATIONS);
        do {
          choices.restart();
          commits += new ExploredShard(choices, List.of(first, second)).run();
          runs++;
        } while (choices.advance());
      }
    }
    System.out.printf("%d runs, %d versions committed%n", runs, commits);
    assertTrue(commits > 2 * runs, "too few commits to say anything");
  }
}
