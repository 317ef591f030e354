package nettletrail.control.shard;

import static nettletrail.control.shard.SimulatedCluster.millis;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LongSummaryStatistics;
import org.junit.jupiter.api.Test;

/** Time without an owner after a fault. Links delay up to 30 ms one way, as between regions. */
class FailoverTimeTest {

  private static final int SEEDS = 100;
  private static final long TIMEOUT = millis(20_000);

  /** A fault, after which the time until others own all shards is measured. */
  private interface Fault {
    /** Injects the fault; returns the machine that is lost, or null if all of them return. */
    SimulatedCore inject(SimulatedCluster cluster);
  }

  private static boolean ownedByOthers(SimulatedCluster cluster, SimulatedCore lost) {
    for (int shard = 0; shard < SimulatedCore.SHARDS; shard++) {
      SimulatedCore owner = cluster.owner(shard);
      if (owner == null || owner == lost) {
        return false;
      }
    }
    return true;
  }

  private static LongSummaryStatistics measure(String name, Fault fault) {
    LongSummaryStatistics waits = new LongSummaryStatistics();
    for (long seed = 1; seed <= SEEDS; seed++) {
      SimulatedCluster cluster = SimulatedCluster.started(seed, 3);
      cluster.maxDelay = millis(30);
      assertTrue(cluster.runUntil(cluster::groupIsComplete, TIMEOUT));
      cluster.runFor(millis(1000) + cluster.random().nextInt((int) millis(500)));
      SimulatedCore lost = fault.inject(cluster);
      long before = cluster.now();
      assertTrue(cluster.runUntil(() -> ownedByOthers(cluster, lost), TIMEOUT), "seed " + seed);
      waits.accept((cluster.now() - before) / millis(1));
    }
    System.out.printf(
        "%s: without an owner %.0f ms in the mean, %d ms at most%n",
        name, waits.getAverage(), waits.getMax());
    return waits;
  }

  @Test
  void givenOwnerCrashes_whenOthersTakeOver_thenWithinTwoSeconds() {
    LongSummaryStatistics waits =
        measure(
            "owner crashed",
            cluster -> {
              SimulatedCore owner = cluster.owner(0);
              owner.crash();
              return owner;
            });
    assertTrue(waits.getMax() <= 2000, "at most " + waits.getMax());
  }

  @Test
  void givenOwnerShutsDownGracefully_whenOthersTakeOver_thenWithinAThirdOfALease() {
    LongSummaryStatistics waits =
        measure(
            "owner shut down gracefully",
            cluster -> {
              SimulatedCore owner = cluster.owner(0);
              owner.terminate();
              return owner;
            });
    assertTrue(waits.getAverage() <= 400, "in the mean " + waits.getAverage());
    assertTrue(waits.getMax() <= 1000, "at most " + waits.getMax());
  }

  @Test
  void givenOwnerIsPartitioned_whenOthersTakeOver_thenWithinTwoSeconds() {
    LongSummaryStatistics waits =
        measure(
            "owner partitioned",
            cluster -> {
              SimulatedCore owner = cluster.owner(0);
              cluster.isolate(owner);
              return owner;
            });
    assertTrue(waits.getMax() <= 2000, "at most " + waits.getMax());
  }

  @Test
  void givenAllCrash_whenTheyRestart_thenOwnedWithinThreeSeconds() {
    LongSummaryStatistics waits =
        measure(
            "all crashed, back within 1 s",
            cluster -> {
              for (SimulatedCore core : cluster.cores()) {
                core.crash();
                long downFor = cluster.random().nextInt((int) millis(1000));
                cluster.after(downFor, () -> core.start(cluster.seeds(), false));
              }
              return null;
            });
    assertTrue(waits.getMax() <= 3000, "at most " + waits.getMax());
  }

  @Test
  void givenRunningCore_whenNoFaultOccurs_thenNoOwnerChanges() {
    for (long seed = 1; seed <= 20; seed++) {
      SimulatedCluster cluster = SimulatedCluster.started(seed, 3);
      cluster.maxDelay = millis(100);
      assertTrue(cluster.runUntil(cluster::groupIsComplete, TIMEOUT));
      cluster.runFor(millis(1000));
      String before = cluster.describe();
      cluster.runFor(millis(60_000));
      assertTrue(before.equals(cluster.describe()), before + cluster.describe());
    }
  }
}
