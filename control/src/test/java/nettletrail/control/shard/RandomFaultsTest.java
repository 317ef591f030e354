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

  private static final long FAULT_TIME = millis(25_000);
  private static final long RECOVERED_TIME = millis(4_000);
  private static final long RECOVERY_LIMIT = millis(10_000);

  private static final int SEEDS = Integer.getInteger("shard.seeds", 300);
  private static final long FIRST_SEED = Long.getLong("shard.firstSeed", 1);

  /** What a run must show. */
  private enum Contract {
    /** One machine is lost at a time: everything is safe, and all shards recover. */
    WITHIN,
    /** Machines are lost for good while others are faulty: everything is safe. */
    EXCEEDED
  }

  @Test
  void givenToleratedFaults_whenTwoOperatorsRace_thenNothingIsLostAndAllRecovers() {
    runAll(SEEDS, 3, Contract.WITHIN);
  }

  @Test
  void givenMoreFaultsThanTolerated_whenTwoOperatorsRace_thenNothingIsLost() {
    runAll(SEEDS, 3, Contract.EXCEEDED);
  }

  @Test
  void givenFiveMachines_whenTwoOperatorsRace_thenNothingIsLostAndAllRecovers() {
    runAll(SEEDS / 5, 5, Contract.WITHIN);
  }

  private int losses;

  private void runAll(int seeds, int size, Contract contract) {
    int recovered = 0;
    losses = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed++) {
      try {
        recovered += run(seed, size, contract) ? 1 : 0;
      } catch (AssertionError | RuntimeException failure) {
        throw new AssertionError("seed " + seed + ", " + size + " machines", failure);
      }
    }
    System.out.printf(
        "%s, %d machines: %d runs, %d recovered, %d disks or machines lost%n",
        contract, size, seeds, recovered, losses);
    assertTrue(losses > seeds / 4, "too few losses to say anything");
  }

  private boolean run(long seed, int size, Contract contract) {
    SimulatedCluster cluster = SimulatedCluster.started(seed, size);
    assertTrue(cluster.runUntil(cluster::groupIsComplete, RECOVERY_LIMIT), "no start");
    SimulatedOperator one = new SimulatedOperator(cluster, "one");
    SimulatedOperator other = new SimulatedOperator(cluster, "other");
    RandomFaults faults = new RandomFaults(cluster, contract == Contract.WITHIN);
    one.start();
    other.start();
    faults.start();
    cluster.runFor(FAULT_TIME);
    faults.stop();
    losses += faults.losses();
    boolean recovered = cluster.runUntil(() -> hasRecovered(cluster), RECOVERY_LIMIT);
    if (!recovered && contract == Contract.EXCEEDED) {
      return false;
    }
    assertTrue(recovered, () -> "no recovery" + cluster.describe());
    int before = cluster.invariants().acknowledgedCount();
    cluster.runFor(RECOVERED_TIME);
    assertTrue(cluster.invariants().acknowledgedCount() > before + 5, "no progress");
    one.stop();
    other.stop();
    cluster.runFor(millis(1500));
    cluster.cores().forEach(core -> readBack(cluster, core));
    return true;
  }

  private static boolean hasRecovered(SimulatedCluster cluster) {
    boolean thawed = cluster.cores().stream().noneMatch(SimulatedCore::frozen);
    return thawed && cluster.groupIsComplete();
  }

  private static void readBack(SimulatedCluster cluster, SimulatedCore core) {
    AtomicReference<CoreAction.AnswerOperator> answer = new AtomicReference<>();
    cluster.call(core, "GET", "", new byte[0], answer::set);
    assertTrue(cluster.runUntil(() -> answer.get() != null, millis(1500)), "no answer to GET");
    String document = new String(answer.get().body(), StandardCharsets.UTF_8);
    assertTrue(answer.get().status() == 200, "GET " + answer.get().status() + " " + document);
    cluster.invariants().checkReadBack(Long.parseLong(answer.get().edition()), document);
  }
}
