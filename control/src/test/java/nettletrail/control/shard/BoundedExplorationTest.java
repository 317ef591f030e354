package nettletrail.control.shard;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Plays every run of three replicas that differs from the usual order in at most {@code
 * shard.deviations} steps: a message or storage operation out of order or lost, a crash, or a
 * lease's time that passes.
 */
class BoundedExplorationTest {

  private static final int DEVIATIONS = Integer.getInteger("shard.deviations", 2);

  @Test
  void givenThreeReplicas_whenFewStepsDeviate_thenOneOwnerAndNothingCommittedIsLost() {
    ChoiceSequence choices = new ChoiceSequence(DEVIATIONS);
    long runs = 0;
    long commits = 0;
    do {
      choices.restart();
      commits += new ExploredShard(choices).run();
      runs++;
    } while (choices.advance());
    System.out.printf("%d runs, %d versions committed%n", runs, commits);
    assertTrue(commits > 2 * runs, "too few commits to say anything");
  }
}
