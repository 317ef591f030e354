package nettletrail.control.shard;

import static nettletrail.control.shard.SimulatedCluster.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import nettletrail.store.NodeIdentity;
import org.junit.jupiter.api.Test;

/**
 * A first start of the system that is cut short by kills: the core takes a configuration all the
 * same, and a machine that has merely lost its disk founds nothing.
 */
class BootstrapRecoveryTest {

  private static final long RECOVERY = millis(8_000);
  private static final long LONG = millis(60_000);
  private static final long RESTART = millis(500);

  /** What a kill at some write of the first start leaves on a founder's disk. */
  private enum Disk {
    EMPTY,
    VERSIONS_OF_SOME_SHARDS,
    VERSIONS_WITHOUT_IDENTITY,
    COMPLETE;

    void apply(SimulatedCore core, List<String> seeds) {
      int versions =
          switch (this) {
            case EMPTY -> 0;
            case VERSIONS_OF_SOME_SHARDS -> 2;
            default -> SimulatedCore.SHARDS;
          };
      core.disk.storeInitial(versions, Bootstrap.initialVersion(seeds));
      if (this == COMPLETE) {
        core.disk.identity = NodeIdentity.founding(core.address);
      }
    }
  }

  private static SimulatedCluster cluster(long seed, int machines) {
    ShardSettings settings = ShardSettings.defaults().tolerating((machines - 1) / 2);
    SimulatedCluster cluster = new SimulatedCluster(seed, settings);
    cluster.maxDelay = millis(30);
    for (int machine = 0; machine < machines; machine++) {
      cluster.addCore();
    }
    return cluster;
  }

  private static void restart(SimulatedCluster cluster, SimulatedCore core) {
    core.start(cluster.seeds(), false);
  }

  /** The core accepts a change of the configuration within the time to recover. */
  private static void assertTakesAConfiguration(SimulatedCluster cluster, String what) {
    String where = what + " ";
    assertTrue(
        cluster.runUntil(cluster::allShardsOwned, RECOVERY), () -> where + cluster.describe());
    AtomicInteger status = new AtomicInteger();
    byte[] body = "1 first".getBytes(StandardCharsets.UTF_8);
    for (int attempt = 0; attempt < 8 && status.get() != OperatorResponses.OK; attempt++) {
      status.set(0);
      cluster.call(
          cluster.core(0), "PUT", "0", body, answer -> status.compareAndSet(0, answer.status()));
      cluster.runUntil(() -> status.get() != 0, millis(1_500));
    }
    assertEquals(OperatorResponses.OK, status.get(), () -> where + cluster.describe());
    assertTrue(
        cluster.runUntil(cluster::groupIsComplete, RECOVERY), () -> where + cluster.describe());
  }

  // Kills

  /** Review/7: founders that were killed before they wrote anything never founded the groups. */
  @Test
  void givenAnyMixOfDisksThatKillsLeave_whenAllStartAgain_thenTheCoreTakesAConfiguration() {
    int states = Disk.values().length;
    for (int mix = 0; mix < states * states * states; mix++) {
      SimulatedCluster cluster = cluster(mix, 3);
      List<Disk> disks = new ArrayList<>();
      for (int machine = 0, rest = mix; machine < 3; machine++, rest /= states) {
        disks.add(Disk.values()[rest % states]);
        disks.get(machine).apply(cluster.core(machine), cluster.seeds());
        restart(cluster, cluster.core(machine));
      }
      assertTakesAConfiguration(cluster, disks.toString());
    }
  }

  @Test
  void givenAKillAtAnyInstantOfTheFirstStart_whenAllAreBack_thenTheCoreTakesAConfiguration() {
    for (int killed = 1; killed <= 3; killed++) {
      for (long at = 0; at <= 2_000; at += 40) {
        SimulatedCluster cluster = cluster(at * 3 + killed, 3);
        cluster.cores().forEach(core -> core.start(cluster.seeds(), true));
        cluster.runFor(millis(at));
        List<SimulatedCore> victims = cluster.cores().subList(0, killed);
        victims.forEach(SimulatedCore::crash);
        cluster.runFor(RESTART);
        victims.forEach(core -> restart(cluster, core));
        assertTakesAConfiguration(cluster, killed + " killed after " + at + " ms:");
      }
    }
  }

  @Test
  void givenMachinesThatWereKilledBeforeTheyStarted_whenOthersAreFounders_thenAllAreMembers() {
    for (int late = 1; late <= 3; late++) {
      SimulatedCluster cluster = cluster(late, 3);
      List<SimulatedCore> cores = cluster.cores();
      cores.subList(late, 3).forEach(core -> core.start(cluster.seeds(), true));
      cluster.runFor(RESTART);
      cores.subList(0, late).forEach(core -> restart(cluster, core));
      assertTakesAConfiguration(cluster, late + " late:");
    }
  }

  @Test
  void givenFiveMachines_whenAllAreKilledBeforeTheyWrite_thenTheSeedsFoundAndTheOthersJoin() {
    SimulatedCluster cluster = cluster(5, 5);
    cluster.cores().forEach(core -> restart(cluster, core));
    assertTakesAConfiguration(cluster, "five:");
  }

  @Test
  void givenAFirstStart_whenNothingIsKilled_thenTheGroupsAreFoundedOnce() {
    SimulatedCluster cluster = cluster(6, 3);
    cluster.cores().forEach(core -> core.start(cluster.seeds(), true));
    assertTakesAConfiguration(cluster, "undisturbed:");
    cluster.runFor(LONG);
    assertTrue(cluster.cores().stream().noneMatch(core -> core.foundedGroups));
  }

  // Lost disks

  private static SimulatedCluster foundedCluster(long seed, int machines) {
    SimulatedCluster cluster = cluster(seed, machines);
    cluster.cores().forEach(core -> core.start(cluster.seeds(), true));
    assertTakesAConfiguration(cluster, "founded:");
    return cluster;
  }

  private static void assertNothingIsFounded(SimulatedCluster cluster) {
    cluster.runFor(LONG);
    for (SimulatedCore core : cluster.cores()) {
      assertFalse(core.foundedGroups, cluster::describe);
    }
  }

  @Test
  void givenAMachineThatLostItsDisk_whenTheOthersAreDown_thenItFoundsNothingAndReportsThem() {
    SimulatedCluster cluster = foundedCluster(7, 3);
    cluster.cores().forEach(SimulatedCore::crash);
    SimulatedCore lost = cluster.core(0);
    lost.loseDisk();
    restart(cluster, lost);
    assertNothingIsFounded(cluster);
    assertNull(lost.shards.configuration());
    assertNotNull(lost.groupMissing);
    assertEquals(
        List.of(cluster.core(1).address, cluster.core(2).address), lost.groupMissing.silentSeeds());
    cluster.cores().subList(1, 3).forEach(core -> restart(cluster, core));
    assertTrue(cluster.runUntil(cluster::groupIsComplete, RECOVERY), cluster::describe);
    assertEquals(1, cluster.core(1).announced.edition());
  }

  @Test
  void givenTwoLostDisksOfThree_whenTheThirdHasTheConfiguration_thenNothingIsFounded() {
    SimulatedCluster cluster = foundedCluster(8, 3);
    cluster.cores().forEach(SimulatedCore::crash);
    cluster.core(0).loseDisk();
    cluster.core(1).loseDisk();
    cluster.cores().forEach(core -> restart(cluster, core));
    assertNothingIsFounded(cluster);
  }

  @Test
  void givenAllSeedsLostTheirDisks_whenOtherMembersAreLeft_thenNothingIsFoundedBesideThem() {
    SimulatedCluster cluster = foundedCluster(9, 5);
    cluster.cores().forEach(SimulatedCore::crash);
    cluster.cores().subList(0, 3).forEach(SimulatedCore::loseDisk);
    cluster.cores().forEach(core -> restart(cluster, core));
    assertNothingIsFounded(cluster);
    assertTrue(cluster.core(0).groupMissing.foundedElsewhere());
  }

  @Test
  void givenAllDisksAreLost_whenADoorHasAConfiguration_thenNothingIsFounded() {
    SimulatedCluster cluster = foundedCluster(10, 3);
    cluster.cores().forEach(SimulatedCore::crash);
    cluster.cores().forEach(SimulatedCore::loseDisk);
    cluster.cores().forEach(core -> restart(cluster, core));
    cluster.core(0).shards.configurationSeen();
    assertNothingIsFounded(cluster);
  }

  @Test
  void givenAMajorityOfWholeFoundersThatAreApart_whenTheThirdReachesBoth_thenItFoundsNothing() {
    SimulatedCluster cluster = cluster(12, 3);
    Disk.COMPLETE.apply(cluster.core(1), cluster.seeds());
    Disk.COMPLETE.apply(cluster.core(2), cluster.seeds());
    cluster.partition(cluster.core(1), cluster.core(2));
    cluster.cores().forEach(core -> restart(cluster, core));
    assertNothingIsFounded(cluster);
    cluster.heal();
    assertTakesAConfiguration(cluster, "healed:");
  }

  @Test
  void givenASeedThatIsSilent_whenTheOthersAreEmpty_thenNothingIsFoundedUntilItAnswers() {
    SimulatedCluster cluster = cluster(11, 3);
    cluster.cores().subList(0, 2).forEach(core -> restart(cluster, core));
    assertNothingIsFounded(cluster);
    restart(cluster, cluster.core(2));
    assertTakesAConfiguration(cluster, "the last seed is back:");
  }
}
