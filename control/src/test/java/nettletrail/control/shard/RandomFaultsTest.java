package nettletrail.control.shard;

import static nettletrail.control.shard.SimulatedCluster.millis;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/**
 * Two operators race while machines, disks and links fail at random; the invariants are checked
 * after every event, and what was acknowledged is read back at the end. {@code -Dshard.seeds=N} and
 * {@code -Dshard.firstSeed=N} choose the runs.
 */
class RandomFaultsTest {

  private static final long TROUBLED_TIME = millis(25_000);
  private static final long CALM_TIME = millis(4_000);
  private static final long RECOVERY_LIMIT = millis(10_000);

  private static final int SEEDS = Integer.getInteger("shard.seeds", 300);
  private static final long FIRST_SEED = Long.getLong("shard.firstSeed", 1);

  @Test
  void givenRandomFaults_whenTwoOperatorsRace_thenNothingAcknowledgedIsLost() {
    runAll(SEEDS, 3);
  }

  @Test
  void givenFiveMachines_whenTwoOperatorsRace_thenNothingAcknowledgedIsLost() {
    runAll(SEEDS / 5, 5);
  }

  private static void runAll(int seeds, int size) {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed++) {
      try {
        run(seed, size);
      } catch (AssertionError | RuntimeException failure) {
        throw new AssertionError("seed " + seed + ", " + size + " machines", failure);
      }
    }
  }

  private static void run(long seed, int size) {
    SimulatedCluster cluster = SimulatedCluster.started(seed, size);
    assertTrue(cluster.runUntil(cluster::groupIsWhole, RECOVERY_LIMIT), "no start");
    SimulatedOperator one = new SimulatedOperator(cluster, "one");
    SimulatedOperator other = new SimulatedOperator(cluster, "other");
    RandomFaults faults = new RandomFaults(cluster);
    one.start();
    other.start();
    faults.start();
    cluster.runFor(TROUBLED_TIME);
    faults.stop();
    assertTrue(
        cluster.runUntil(() -> calm(cluster), RECOVERY_LIMIT),
        () -> "no recovery" + cluster.describe());
    int before = cluster.invariants().acknowledgedCount();
    cluster.runFor(CALM_TIME);
    assertTrue(cluster.invariants().acknowledgedCount() > before + 5, "no progress");
    one.stop();
    other.stop();
    cluster.runFor(millis(1500));
    cluster.cores().forEach(core -> readBack(cluster, core));
  }

  private static boolean calm(SimulatedCluster cluster) {
    boolean thawed = cluster.cores().stream().noneMatch(SimulatedCore::frozen);
    return thawed && cluster.groupIsWhole();
  }

  private static void readBack(SimulatedCluster cluster, SimulatedCore core) {
    AtomicReference<CoreAction.AnswerOrder> answer = new AtomicReference<>();
    cluster.call(core, "GET", "", new byte[0], answer::set);
    assertTrue(cluster.runUntil(() -> answer.get() != null, millis(1500)), "GET silent");
    String document = new String(answer.get().body(), StandardCharsets.UTF_8);
    assertTrue(answer.get().status() == 200, "GET " + answer.get().status() + " " + document);
    cluster.invariants().checkReadBack(Long.parseLong(answer.get().edition()), document);
  }
}
