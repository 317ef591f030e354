package nettletrail.control.shard;

import static nettletrail.control.shard.SimulatedCluster.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Time until each group consists of exactly the running machines, after a fault or a start. A
 * machine counts as lost for a catch-up time (4 s on three core machines, 6 s on five); after that
 * the next one may be lost, so every group must be complete before. The limit is shortened by the
 * start time of a process, which is zero here. Links delay up to 30 ms one way.
 */
class RepairTimeTest {

  private static final int SEEDS = 40;
  private static final long TIMEOUT = millis(20_000);
  private static final long CATCH_UP = millis(4_000);
  private static final long LARGE_CATCH_UP = millis(6_000);
  private static final long PROCESS_START = millis(700);

  /** A fault; injecting it returns the instant from which the time to repair is measured. */
  private interface Fault {
    long inject(SimulatedCluster cluster);
  }

  private static SimulatedCluster startedCluster(long seed, int size) {
    ShardSettings settings = ShardSettings.defaults().tolerating((size - 1) / 2);
    SimulatedCluster cluster = SimulatedCluster.started(seed, size, settings);
    cluster.maxDelay = millis(30);
    assertTrue(cluster.runUntil(cluster::allRun, TIMEOUT));
    assertTrue(cluster.runUntil(cluster::groupIsComplete, TIMEOUT));
    cluster.runFor(millis(1_000) + cluster.random().nextInt((int) millis(500)));
    return cluster;
  }

  private static void assertCompleteWithin(String name, int size, long limit, Fault fault) {
    LongSummaryStatistics waits = new LongSummaryStatistics();
    for (long seed = 1; seed <= SEEDS; seed++) {
      SimulatedCluster cluster = startedCluster(seed, size);
      long from = fault.inject(cluster);
      assertTrue(cluster.runUntil(cluster::groupIsComplete, TIMEOUT), cluster::describe);
      waits.accept((cluster.now() - from) / millis(1));
    }
    System.out.printf(
        "%s: complete after %.0f ms in the mean, %d ms at most%n",
        name, waits.getAverage(), waits.getMax());
    assertTrue(waits.getMax() * millis(1) <= limit - PROCESS_START, "at most " + waits.getMax());
  }

  private static SimulatedCore follower(SimulatedCluster cluster) {
    SimulatedCore owner = cluster.owner(0);
    return cluster.cores().stream().filter(core -> core != owner).findFirst().orElseThrow();
  }

  private static long wipe(SimulatedCluster cluster, SimulatedCore core) {
    core.crash();
    core.loseDisk();
    cluster.runFor(millis(500));
    core.start(cluster.seeds(), false);
    return cluster.now();
  }

  private static long replace(SimulatedCluster cluster, SimulatedCore core) {
    cluster.remove(core);
    cluster.addCore().start(cluster.seeds(), false);
    return cluster.now();
  }

  private static long restartAll(SimulatedCluster cluster) {
    List<SimulatedCore> cores = cluster.cores();
    cores.forEach(SimulatedCore::crash);
    cluster.runFor(millis(500));
    cores.forEach(core -> core.start(cluster.seeds(), false));
    return cluster.now();
  }

  @Test
  void givenFollower_whenItLosesItsDisk_thenItIsAMemberAgainInTime() {
    assertCompleteWithin(
        "follower wiped", 3, CATCH_UP, cluster -> wipe(cluster, follower(cluster)));
  }

  @Test
  void givenOwner_whenItLosesItsDisk_thenItIsAMemberAgainInTime() {
    assertCompleteWithin("owner wiped", 3, CATCH_UP, cluster -> wipe(cluster, cluster.owner(0)));
  }

  @Test
  void givenOwnerLosesItsDisk_whenTheOthersLosePower_thenItIsAMemberAgainInTime() {
    assertCompleteWithin(
        "owner wiped, others without power",
        3,
        CATCH_UP,
        cluster -> {
          cluster.owner(0).loseDisk();
          return restartAll(cluster);
        });
  }

  @Test
  void givenFollower_whenReplaced_thenItsSuccessorIsAMemberInTime() {
    assertCompleteWithin(
        "follower replaced", 3, CATCH_UP, cluster -> replace(cluster, follower(cluster)));
  }

  @Test
  void givenOwner_whenReplaced_thenItsSuccessorIsAMemberInTime() {
    assertCompleteWithin(
        "owner replaced", 3, CATCH_UP, cluster -> replace(cluster, cluster.owner(0)));
  }

  @Test
  void givenOwner_whenReplacedAsPlanned_thenItsSuccessorIsAMemberInTime() {
    assertCompleteWithin(
        "owner replaced as planned",
        3,
        CATCH_UP,
        cluster -> {
          SimulatedCore removed = cluster.owner(0);
          cluster.addCore().start(cluster.seeds(), false);
          long started = cluster.now();
          cluster.runFor(millis(300));
          removed.terminate();
          cluster.remove(removed);
          return started;
        });
  }

  /** Review/4: a group that kept the members that had left lost its majority with the next disk. */
  @Test
  void givenTwoPlannedReplacementsNewFirst_whenADiskIsLostLater_thenItIsAMemberAgainInTime() {
    assertCompleteWithin(
        "follower wiped after two planned replacements, the new ones first",
        3,
        CATCH_UP,
        cluster -> {
          List<SimulatedCore> former = List.of(cluster.core(0), cluster.core(1));
          cluster.addCore().start(cluster.seeds(), false);
          cluster.addCore().start(cluster.seeds(), false);
          assertTrue(cluster.runUntil(cluster::groupIsComplete, TIMEOUT), cluster::describe);
          cluster.runFor(CATCH_UP);
          former.get(0).terminate();
          cluster.remove(former.get(0));
          cluster.runFor(millis(6_000));
          former.get(1).terminate();
          cluster.remove(former.get(1));
          cluster.runFor(millis(8_000));
          return wipe(cluster, follower(cluster));
        });
  }

  /** Starts a successor, and once it has caught up shuts the former machine down for good. */
  private static void replaceNewFirst(SimulatedCluster cluster, SimulatedCore former) {
    cluster.addCore().start(cluster.seeds(), false);
    assertTrue(cluster.runUntil(cluster::groupIsComplete, TIMEOUT), cluster::describe);
    cluster.runFor(CATCH_UP);
    former.shutDown();
    cluster.remove(former);
  }

  /** The group had a member too many until it was missed: the next loss took the majority. */
  @Test
  void givenOwnerReplacedNewFirst_whenADiskIsLostAtOnce_thenItIsAMemberAgainInTime() {
    assertCompleteWithin(
        "follower wiped as the former owner ends",
        3,
        CATCH_UP,
        cluster -> {
          replaceNewFirst(cluster, cluster.owner(0));
          return wipe(cluster, cluster.core(1));
        });
  }

  @Test
  void givenFollowerReplacedNewFirst_whenTheOwnersDiskIsLostAtOnce_thenItIsAMemberAgainInTime() {
    assertCompleteWithin(
        "owner wiped as a former follower ends",
        3,
        CATCH_UP,
        cluster -> {
          replaceNewFirst(cluster, follower(cluster));
          return wipe(cluster, cluster.owner(0));
        });
  }

  @Test
  void givenFiveMachines_whenTwoDisksAreLostAsAReplacedOneEnds_thenBothAreMembersAgainInTime() {
    assertCompleteWithin(
        "two of five wiped as the former owner ends",
        5,
        LARGE_CATCH_UP,
        cluster -> {
          replaceNewFirst(cluster, cluster.owner(0));
          cluster.core(1).loseDisk();
          cluster.core(2).loseDisk();
          return restartAll(cluster);
        });
  }

  @Test
  void givenACoreOfOneMachine_whenItIsReplacedNewFirst_thenItsSuccessorOwnsTheShards() {
    assertCompleteWithin(
        "the only machine replaced",
        1,
        CATCH_UP,
        cluster -> {
          replaceNewFirst(cluster, cluster.core(0));
          return cluster.now();
        });
  }

  @Test
  void givenReplacement_whenAllCrashAfterIt_thenTheSuccessorIsAMemberInTime() {
    assertCompleteWithin(
        "follower replaced, then all killed",
        3,
        CATCH_UP,
        cluster -> {
          replace(cluster, follower(cluster));
          cluster.runFor(millis(1_000));
          return restartAll(cluster);
        });
  }

  @Test
  void givenTwoOfFiveAreReplaced_whenTheSecondIsTheOwner_thenBothSuccessorsAreMembersInTime() {
    assertCompleteWithin(
        "follower and owner of five replaced within 1 s",
        5,
        LARGE_CATCH_UP,
        cluster -> {
          long started = replace(cluster, follower(cluster));
          cluster.runFor(millis(1_000));
          replace(cluster, cluster.owner(0));
          return started;
        });
  }

  @Test
  void givenFiveMachines_whenTwoLoseTheirDisks_thenBothAreMembersAgainInTime() {
    assertCompleteWithin(
        "two of five wiped, others without power",
        5,
        LARGE_CATCH_UP,
        cluster -> {
          cluster.owner(0).loseDisk();
          follower(cluster).loseDisk();
          return restartAll(cluster);
        });
  }

  @Test
  void givenContinuousChanges_whenADiskIsLost_thenItIsAMemberAgainInTime() {
    assertCompleteWithin(
        "follower wiped under orders",
        3,
        CATCH_UP,
        cluster -> {
          SimulatedCore owner = cluster.owner(0);
          sendNext(cluster, owner, new AtomicInteger());
          return wipe(cluster, follower(cluster));
        });
  }

  /** Sends a change as soon as the one before is acknowledged, so that one is always in flight. */
  private static void sendNext(SimulatedCluster cluster, SimulatedCore owner, AtomicInteger last) {
    int edition = last.incrementAndGet();
    byte[] body = (edition + " next").getBytes(StandardCharsets.UTF_8);
    String ifMatch = Integer.toString(edition - 1);
    cluster.call(
        owner,
        "PUT",
        ifMatch,
        body,
        answer -> {
          assertEquals(OperatorResponses.OK, answer.status());
          sendNext(cluster, owner, last);
        });
  }

  @Test
  void givenDisksLostOneAfterTheOther_whenEachHasCaughtUp_thenNothingIsLost() {
    SimulatedCluster cluster = startedCluster(1, 3);
    AtomicInteger acknowledged = new AtomicInteger();
    for (SimulatedCore core : cluster.cores()) {
      String edition = acknowledged.toString();
      byte[] body = (acknowledged.get() + 1 + " order").getBytes(StandardCharsets.UTF_8);
      cluster.call(
          follower(cluster), "PUT", edition, body, answer -> acknowledged.incrementAndGet());
      cluster.runUntil(() -> acknowledged.get() > Integer.parseInt(edition), millis(1_500));
      core.loseDisk();
      restartAll(cluster);
      cluster.runFor(CATCH_UP);
    }
    assertEquals(3, acknowledged.get());
    cluster.cores().forEach(core -> assertEquals(3, core.announced.edition()));
  }

  // The first start

  @Test
  void givenFiveMachines_whenFirstStarted_thenTheGroupIsCompleteInLessThanTwoSeconds() {
    LongSummaryStatistics waits = new LongSummaryStatistics();
    for (long seed = 1; seed <= SEEDS; seed++) {
      SimulatedCluster cluster = SimulatedCluster.started(seed, 5);
      cluster.maxDelay = millis(30);
      boolean complete =
          cluster.runUntil(() -> cluster.allRun() && cluster.groupIsComplete(), millis(20_000));
      assertTrue(complete, cluster::describe);
      waits.accept(cluster.now() / millis(1));
    }
    System.out.printf("five started: complete after %d ms at most%n", waits.getMax());
    assertTrue(waits.getMax() <= 2_000, "at most " + waits.getMax());
  }

  @Test
  void givenFirstStartOfFive_whenTheFirstChangeIsAcknowledged_thenTwoLostDisksDoNotLoseIt() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      SimulatedCluster cluster =
          SimulatedCluster.started(seed, 5, ShardSettings.defaults().tolerating(2));
      cluster.runUntil(cluster::allRun, TIMEOUT);
      sendUntilAcknowledged(cluster);
      for (SimulatedCore seedMachine : List.of(cluster.core(0), cluster.core(1))) {
        seedMachine.loseDisk();
      }
      restartAll(cluster);
      cluster.runFor(CATCH_UP);
      for (SimulatedCore core : cluster.cores()) {
        assertTrue(core.announced != null, cluster::describe);
        assertEquals(1, core.announced.edition());
      }
    }
  }

  @Test
  void givenFewerMachinesThanAFullGroup_whenTheFirstChangeIsSent_thenItIsAcknowledgedSoon() {
    SimulatedCluster cluster =
        SimulatedCluster.started(1, 3, ShardSettings.defaults().tolerating(2));
    cluster.runUntil(cluster::allRun, TIMEOUT);
    sendUntilAcknowledged(cluster);
    assertTrue(cluster.now() < millis(4_000), "after " + cluster.now() / millis(1));
  }

  private static void sendUntilAcknowledged(SimulatedCluster cluster) {
    List<CoreAction.AnswerOperator> acknowledged = new ArrayList<>();
    byte[] body = "1 first".getBytes(StandardCharsets.UTF_8);
    for (int attempt = 0; attempt < 10 && acknowledged.isEmpty(); attempt++) {
      cluster.call(
          cluster.core(0),
          "PUT",
          "0",
          body,
          answer -> {
            if (answer.status() == OperatorResponses.OK) {
              acknowledged.add(answer);
            }
          });
      cluster.runUntil(() -> !acknowledged.isEmpty(), millis(1_000));
    }
    assertEquals(1, acknowledged.size());
  }
}
