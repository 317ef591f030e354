package nettletrail.control.shard;

import static nettletrail.control.shard.SimulatedCluster.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import nettletrail.protocol.Accept;
import nettletrail.protocol.AcceptReply;
import nettletrail.protocol.OwnerHeartbeat;
import nettletrail.protocol.PreVote;
import nettletrail.protocol.Prepare;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardHeartbeat;
import nettletrail.protocol.ShardVersion;
import org.apache.avro.specific.SpecificRecord;
import org.junit.jupiter.api.Test;

/** The basic flows of a core of three machines. */
class CoreShardsTest {

  private static CoreAction.AnswerOperator callAndWait(
      SimulatedCluster cluster, SimulatedCore core, String method, String ifMatch, String body) {
    AtomicReference<CoreAction.AnswerOperator> answer = new AtomicReference<>();
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    cluster.call(core, method, ifMatch, bytes, answer::set);
    cluster.runUntil(() -> answer.get() != null, millis(1500));
    return answer.get();
  }

  private static int put(SimulatedCluster cluster, int core, String ifMatch, String body) {
    return callAndWait(cluster, cluster.core(core), "PUT", ifMatch, body).status();
  }

  private static String read(SimulatedCluster cluster, int core) {
    CoreAction.AnswerOperator answer = callAndWait(cluster, cluster.core(core), "GET", "", "");
    return answer.status() == 200 ? ClusterInvariants.text(answer.body()) : "" + answer.status();
  }

  private static SimulatedCluster settled(long seed) {
    SimulatedCluster cluster = SimulatedCluster.started(seed, 3);
    assertTrue(cluster.runUntil(cluster::groupIsComplete, millis(5000)));
    cluster.runFor(millis(300));
    return cluster;
  }

  private static int indexOf(SimulatedCluster cluster, SimulatedCore core) {
    return cluster.cores().indexOf(core);
  }

  private static int otherThan(int index) {
    return (index + 1) % 3;
  }

  @Test
  void givenFirstStart_whenAllRun_thenEveryShardIsOwnedWithinASecond() {
    for (long seed = 1; seed <= 50; seed++) {
      SimulatedCluster cluster = SimulatedCluster.started(seed, 3);
      assertTrue(cluster.runUntil(cluster::allShardsOwned, millis(1500)), "seed " + seed);
    }
  }

  @Test
  void givenFirstStart_whenSettled_thenShardsAreSpread() {
    SimulatedCluster cluster = settled(7);
    Set<String> owners = new HashSet<>();
    for (int shard = 0; shard < SimulatedCore.SHARDS; shard++) {
      owners.add(cluster.owner(shard).address);
    }
    assertTrue(owners.size() >= 2, owners.toString());
  }

  @Test
  void givenWriteThatOthersKnowAsCommitted_whenOwnerIsReadBeforeItKnows_thenNotTheOlderVersion() {
    int cases = 0;
    for (long seed = 1; seed <= 60; seed++) {
      SimulatedCluster cluster = settled(seed);
      assertEquals(200, put(cluster, 0, "0", "3 first"));
      cluster.runFor(millis(600));
      SimulatedCore owner = cluster.owner(0);
      SimulatedCore other = cluster.core(otherThan(indexOf(cluster, owner)));
      long before = other.shards.committedSequence();
      cluster.lose(message -> message instanceof AcceptReply);
      byte[] second = "5 second".getBytes(StandardCharsets.UTF_8);
      cluster.call(other, "PUT", "3", second, answer -> {});
      assertTrue(cluster.runUntil(() -> other.shards.committedSequence() > before, millis(800)));
      if (owner.shards.committedSequence() == before) {
        cases++;
        assertNotEquals("3 first", read(cluster, indexOf(cluster, owner)), "seed " + seed);
      }
    }
    assertTrue(cases > 0, "no seed in which another process knows of the commit first");
  }

  @Test
  void givenOwner_whenOrdersAtEachMachine_thenTakenAndReadEverywhere() {
    SimulatedCluster cluster = settled(1);
    assertEquals("404", read(cluster, 0));
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    assertEquals(200, put(cluster, 1, "3", "5 second"));
    assertEquals(200, put(cluster, 2, "\"5\"", "6 third"));
    for (int core = 0; core < 3; core++) {
      assertEquals("6 third", read(cluster, core));
    }
    cluster.runFor(millis(600));
    for (SimulatedCore core : cluster.cores()) {
      assertEquals(6, core.announced.edition());
    }
  }

  @Test
  void givenTakenOrder_whenSentAgain_thenAcknowledgedAgainEvenAfterLaterOnes() {
    SimulatedCluster cluster = settled(2);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    assertEquals(200, put(cluster, 1, "0", "3 first"));
    assertEquals(200, put(cluster, 1, "3", "5 second"));
    assertEquals(200, put(cluster, 2, "0", "3 first"));
    assertEquals("5 second", read(cluster, 0));
  }

  @Test
  void givenConfiguration_whenOrderIsStaleOrInvalid_thenRefused() {
    SimulatedCluster cluster = settled(3);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    assertEquals(412, put(cluster, 0, "0", "4 other"));
    assertEquals(400, put(cluster, 0, "3", "3 not above"));
    assertEquals(400, put(cluster, 0, "3", "nonsense"));
    assertEquals(400, put(cluster, 0, "", "4 no condition"));
    assertEquals(405, callAndWait(cluster, cluster.core(0), "POST", "3", "4 x").status());
    assertEquals("3 first", read(cluster, 0));
  }

  @Test
  void givenConfiguration_whenPatched_thenMerged() {
    SimulatedCluster cluster = settled(4);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    assertEquals(200, callAndWait(cluster, cluster.core(1), "PATCH", "3", "4 more").status());
    assertEquals("4 first more", read(cluster, 2));
  }

  @Test
  void givenTwoOrdersOnTheSameEdition_whenSentAtOnce_thenOneWins() {
    for (long seed = 1; seed <= 30; seed++) {
      SimulatedCluster cluster = settled(seed);
      AtomicReference<CoreAction.AnswerOperator> one = new AtomicReference<>();
      AtomicReference<CoreAction.AnswerOperator> other = new AtomicReference<>();
      cluster.call(cluster.core(0), "PUT", "0", "1 one".getBytes(StandardCharsets.UTF_8), one::set);
      cluster.call(
          cluster.core(1), "PUT", "0", "1 other".getBytes(StandardCharsets.UTF_8), other::set);
      cluster.runFor(millis(1000));
      assertEquals(612, one.get().status() + other.get().status(), "seed " + seed);
    }
  }

  @Test
  void givenOwnerCrashes_whenOrderIsSent_thenTakenByAnotherOwner() {
    SimulatedCluster cluster = settled(5);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    SimulatedCore owner = cluster.owner(0);
    owner.crash();
    int other = otherThan(indexOf(cluster, owner));
    assertTrue(cluster.runUntil(() -> cluster.owner(0) != null, millis(2500)));
    assertEquals(200, put(cluster, other, "3", "4 next"));
    assertEquals("4 next", read(cluster, other));
  }

  @Test
  void givenNoOwner_whenOrderIsSent_thenUnavailableWithinASecond() {
    SimulatedCluster cluster = settled(6);
    SimulatedCore survivor = cluster.core(0);
    cluster.core(1).crash();
    cluster.core(2).crash();
    cluster.runFor(millis(2000));
    long before = cluster.now();
    assertEquals(503, put(cluster, indexOf(cluster, survivor), "0", "1 x"));
    assertTrue(cluster.now() - before <= millis(950));
  }

  @Test
  void givenAllCrash_whenRestarted_thenConfigurationIsThere() {
    SimulatedCluster cluster = settled(8);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    cluster.cores().forEach(SimulatedCore::crash);
    cluster.runFor(millis(500));
    cluster.cores().forEach(core -> core.start(cluster.seeds(), false));
    assertTrue(cluster.runUntil(cluster::allShardsOwned, millis(4000)));
    assertEquals("3 first", read(cluster, 1));
  }

  @Test
  void givenStalledDiskOfTheOwner_whenOrderIsSent_thenTheOthersCommit() {
    SimulatedCluster cluster = settled(9);
    SimulatedCore owner = cluster.owner(0);
    owner.stalledUntil = cluster.now() + millis(5000);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    assertEquals(200, put(cluster, 1, "3", "4 second"));
    assertTrue(owner.owns(0));
  }

  @Test
  void givenFullDiskOfAReplica_whenOrderIsSent_thenTheOthersCommitAndItCatchesUp() {
    SimulatedCluster cluster = settled(10);
    SimulatedCore replica = cluster.core(otherThan(indexOf(cluster, cluster.owner(0))));
    replica.storageFails = true;
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    replica.storageFails = false;
    cluster.runFor(millis(1500));
    assertEquals(3, replica.announced.edition());
    assertEquals(1, replica.disk.shards().get(0).version().getSequence());
  }

  @Test
  void givenLostDisk_whenMachineReturns_thenItReplacesItsFormerIdentity() {
    SimulatedCluster cluster = settled(11);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    SimulatedCore lost = cluster.core(otherThan(indexOf(cluster, cluster.owner(0))));
    String formerId = lost.disk.identity.getId();
    lost.crash();
    lost.loseDisk();
    cluster.runFor(millis(500));
    lost.start(cluster.seeds(), false);
    assertTrue(cluster.runUntil(cluster::groupIsComplete, millis(4000)));
    assertNotEquals(formerId, lost.disk.identity.getId());
    cluster.runFor(millis(1000));
    assertEquals(3, lost.announced.edition());
  }

  @Test
  void givenOwnerLosesItsDisk_whenItReturns_thenTheConfigurationIsKept() {
    SimulatedCluster cluster = settled(12);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    SimulatedCore owner = cluster.owner(0);
    cluster.cores().forEach(SimulatedCore::crash);
    owner.loseDisk();
    cluster.runFor(millis(500));
    cluster.cores().forEach(core -> core.start(cluster.seeds(), false));
    assertTrue(cluster.runUntil(cluster::groupIsComplete, millis(6000)));
    assertEquals("3 first", read(cluster, indexOf(cluster, owner)));
  }

  @Test
  void givenRemovedMachine_whenAnotherIsAdded_thenItTakesItsPlace() {
    SimulatedCluster cluster = settled(13);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    SimulatedCore removed = cluster.core(0);
    removed.crash();
    SimulatedCore added = cluster.addCore();
    added.start(cluster.seeds(), false);
    assertTrue(cluster.runUntil(cluster::groupIsComplete, millis(4000)));
    cluster.runFor(millis(1000));
    assertEquals(3, added.announced.edition());
    assertEquals(3, added.shards.members().size());
  }

  @Test
  void givenAdditionalMachine_whenAllLive_thenItJoinsAndASilentOneLeavesTheEvenGroup() {
    SimulatedCluster cluster = settled(14);
    SimulatedCore added = cluster.addCore();
    added.start(cluster.seeds(), false);
    assertTrue(cluster.runUntil(cluster::groupIsComplete, millis(4000)));
    assertEquals(4, added.shards.members().size());
    cluster.core(1).crash();
    assertTrue(cluster.runUntil(cluster::groupIsComplete, millis(6000)));
    assertEquals(3, added.shards.members().size());
  }

  @Test
  void givenVoterRestartsDuringALease_whenAnotherStandsForElection_thenNoSecondOwner() {
    SimulatedCluster cluster = settled(17);
    SimulatedCore owner = cluster.owner(0);
    SimulatedCore candidate = cluster.core(otherThan(indexOf(cluster, owner)));
    SimulatedCore voter = cluster.core(otherThan(indexOf(cluster, candidate)));
    cluster.cut(owner, candidate);
    cluster.runFor(millis(1190));
    assertTrue(owner.owns(0));
    voter.crash();
    voter.start(cluster.seeds(), false);
    cluster.cut(owner, voter);
    long before = cluster.now();
    assertTrue(cluster.runUntil(() -> candidate.owns(0) || voter.owns(0), millis(4000)));
    assertTrue(cluster.now() - before >= millis(1100), "a lease was forgotten");
  }

  @Test
  void givenReleasedLeases_whenTheProcessRunsOn_thenItOwnsNothingAndStandsForNoElection() {
    SimulatedCluster cluster = settled(19);
    SimulatedCore ending = cluster.owner(0);
    ending.release();
    for (int shard = 0; shard < SimulatedCore.SHARDS; shard++) {
      assertFalse(ending.owns(shard));
    }
    assertTrue(cluster.runUntil(cluster::allShardsOwned, millis(1000)));
    cluster.cores().stream().filter(core -> core != ending).forEach(SimulatedCore::release);
    cluster.runFor(millis(5000));
    assertNull(cluster.owner(0));
  }

  @Test
  void givenIsolatedOwner_whenItReturns_thenItFollowsTheNewOne() {
    SimulatedCluster cluster = settled(15);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    SimulatedCore former = cluster.owner(0);
    int other = otherThan(indexOf(cluster, former));
    cluster.isolate(former);
    cluster.runFor(millis(2500));
    assertFalse(former.owns(0));
    assertEquals(503, put(cluster, indexOf(cluster, former), "3", "4 isolated"));
    assertEquals(200, put(cluster, other, "3", "5 other side"));
    long confirmedWhileCut = former.shards.confirmedAt();
    cluster.heal();
    cluster.runFor(millis(1500));
    assertEquals(5, former.announced.edition());
    assertTrue(former.shards.confirmedAt() > confirmedWhileCut);
    assertNotNull(cluster.owner(0));
  }

  @Test
  void givenFreshIdentity_whenMessagesForTheFormerOneCome_thenNoAnswer() {
    SimulatedCluster cluster = settled(18);
    SimulatedCore core = cluster.core(0);
    ProposalNumber proposal = new ProposalNumber(1000L, cluster.core(1).disk.identity.getId());
    String former = core.address + "#former";
    ShardVersion version =
        new ShardVersion(proposal, 1L, core.shards.members(), ByteBuffer.allocate(0));
    OwnerHeartbeat heartbeat =
        new OwnerHeartbeat(
            proposal.getNode(), 0L, List.of(new ShardHeartbeat(0, former, proposal, 0L)));
    List<SpecificRecord> messages =
        List.of(
            new PreVote(0, former, proposal),
            new Prepare(0, former, proposal),
            new Accept(0, former, proposal, version),
            heartbeat);
    for (SpecificRecord message : messages) {
      assertEquals(
          List.of(), core.shards.receive(cluster.core(1).address, message, core.localNow()));
    }
  }

  @Test
  void givenQuietCore_whenTimePasses_thenEveryProcessConfirmsOften() {
    SimulatedCluster cluster = settled(16);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    cluster.runFor(millis(1000));
    for (SimulatedCore core : cluster.cores()) {
      long age = core.localNow() - core.shards.confirmedAt();
      assertTrue(age < millis(400), "age " + age);
    }
  }
}
