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

/** The basic flows of a simulated core of three machines. */
class CoreShardsTest {

  private static int call(
      SimulatedCluster cluster, int core, String method, String ifMatch, String body) {
    return new SimulatedOperatorClient(cluster).call(cluster.core(core), method, ifMatch, body);
  }

  private static int put(SimulatedCluster cluster, int core, String ifMatch, String body) {
    return call(cluster, core, "PUT", ifMatch, body);
  }

  private static String read(SimulatedCluster cluster, int core) {
    return new SimulatedOperatorClient(cluster).read(cluster.core(core));
  }

  private static SimulatedCluster startedCluster(long seed) {
    return SimulatedOperatorClient.startedCluster(seed, 3);
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
    SimulatedCluster cluster = startedCluster(7);
    Set<String> owners = new HashSet<>();
    for (int shard = 0; shard < SimulatedCore.SHARDS; shard++) {
      owners.add(cluster.owner(shard).address);
    }
    assertTrue(owners.size() >= 2, owners.toString());
  }

  @Test
  void givenCommitThatTheOwnerHasNotSeen_whenTheOwnerIsRead_thenNotTheOlderVersion() {
    int cases = 0;
    for (long seed = 1; seed <= 60; seed++) {
      SimulatedCluster cluster = startedCluster(seed);
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
  void givenOwner_whenRequestsArriveAtEachMachine_thenAppliedAndReadEverywhere() {
    SimulatedCluster cluster = startedCluster(1);
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
  void givenAppliedChange_whenSentAgain_thenAcknowledgedAgainEvenAfterLaterOnes() {
    SimulatedCluster cluster = startedCluster(2);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    assertEquals(200, put(cluster, 1, "0", "3 first"));
    assertEquals(200, put(cluster, 1, "3", "5 second"));
    assertEquals(200, put(cluster, 2, "0", "3 first"));
    assertEquals("5 second", read(cluster, 0));
  }

  @Test
  void givenConfiguration_whenChangeIsStaleOrInvalid_thenRejected() {
    SimulatedCluster cluster = startedCluster(3);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    assertEquals(412, put(cluster, 0, "0", "4 other"));
    assertEquals(400, put(cluster, 0, "3", "3 not above"));
    assertEquals(400, put(cluster, 0, "3", "nonsense"));
    assertEquals(400, put(cluster, 0, "", "4 no condition"));
    assertEquals(405, call(cluster, 0, "POST", "3", "4 x"));
    assertEquals("3 first", read(cluster, 0));
  }

  @Test
  void givenConfiguration_whenPatched_thenMerged() {
    SimulatedCluster cluster = startedCluster(4);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    assertEquals(200, call(cluster, 1, "PATCH", "3", "4 more"));
    assertEquals("4 first more", read(cluster, 2));
  }

  @Test
  void givenTwoChangesOfTheSameEdition_whenSentConcurrently_thenOneWins() {
    for (long seed = 1; seed <= 30; seed++) {
      SimulatedCluster cluster = startedCluster(seed);
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
  void givenOwnerCrashes_whenChangeIsSent_thenAppliedByAnotherOwner() {
    SimulatedCluster cluster = startedCluster(5);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    SimulatedCore owner = cluster.owner(0);
    owner.crash();
    int other = otherThan(indexOf(cluster, owner));
    assertTrue(cluster.runUntil(() -> cluster.owner(0) != null, millis(2500)));
    assertEquals(200, put(cluster, other, "3", "4 next"));
    assertEquals("4 next", read(cluster, other));
  }

  @Test
  void givenNoOwner_whenChangeIsSent_thenUnavailableWithinASecond() {
    SimulatedCluster cluster = startedCluster(6);
    SimulatedCore survivor = cluster.core(0);
    cluster.core(1).crash();
    cluster.core(2).crash();
    cluster.runFor(millis(2000));
    long before = cluster.now();
    assertEquals(503, put(cluster, indexOf(cluster, survivor), "0", "1 x"));
    assertTrue(cluster.now() - before <= millis(950));
  }

  @Test
  void givenAllCrash_whenRestarted_thenConfigurationIsRecovered() {
    SimulatedCluster cluster = startedCluster(8);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    cluster.cores().forEach(SimulatedCore::crash);
    cluster.runFor(millis(500));
    cluster.cores().forEach(core -> core.start(cluster.seeds(), false));
    assertTrue(cluster.runUntil(cluster::allShardsOwned, millis(4000)));
    assertEquals("3 first", read(cluster, 1));
  }

  @Test
  void givenStalledDiskOfTheOwner_whenChangeIsSent_thenTheOthersCommit() {
    SimulatedCluster cluster = startedCluster(9);
    SimulatedCore owner = cluster.owner(0);
    owner.stalledUntil = cluster.now() + millis(5000);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    assertEquals(200, put(cluster, 1, "3", "4 second"));
    assertTrue(owner.owns(0));
  }

  @Test
  void givenFullDiskOfAReplica_whenChangeIsSent_thenTheOthersCommitAndItCatchesUp() {
    SimulatedCluster cluster = startedCluster(10);
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
    SimulatedCluster cluster = startedCluster(11);
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
    SimulatedCluster cluster = startedCluster(12);
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
  void givenRemovedMachine_whenAnotherIsAdded_thenItReplacesTheFormer() {
    SimulatedCluster cluster = startedCluster(13);
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
  void givenAdditionalMachine_whenAllRun_thenItJoinsAndAnUnresponsiveOneLeavesTheEvenGroup() {
    SimulatedCluster cluster = startedCluster(14);
    SimulatedCore added = cluster.addCore();
    added.start(cluster.seeds(), false);
    assertTrue(cluster.runUntil(cluster::groupIsComplete, millis(4000)));
    assertEquals(4, added.shards.members().size());
    cluster.core(1).crash();
    assertTrue(cluster.runUntil(cluster::groupIsComplete, millis(6000)));
    assertEquals(3, added.shards.members().size());
  }

  @Test
  void givenAcceptorRestartsDuringALease_whenAnotherStartsAnElection_thenNoSecondOwner() {
    SimulatedCluster cluster = startedCluster(17);
    SimulatedCore owner = cluster.owner(0);
    SimulatedCore candidate = cluster.core(otherThan(indexOf(cluster, owner)));
    SimulatedCore voter = cluster.core(otherThan(indexOf(cluster, candidate)));
    cluster.partition(owner, candidate);
    cluster.runFor(millis(1190));
    assertTrue(owner.owns(0));
    voter.crash();
    voter.start(cluster.seeds(), false);
    cluster.partition(owner, voter);
    long before = cluster.now();
    assertTrue(cluster.runUntil(() -> candidate.owns(0) || voter.owns(0), millis(4000)));
    assertTrue(cluster.now() - before >= millis(1100), "a lease was forgotten");
  }

  @Test
  void givenReleasedLeases_whenTheProcessRunsOn_thenItOwnsNothingAndStartsNoElection() {
    SimulatedCluster cluster = startedCluster(19);
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
  void givenPartitionedOwner_whenThePartitionHeals_thenItFollowsTheNewOwner() {
    SimulatedCluster cluster = startedCluster(15);
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
  void givenNewIdentity_whenMessagesForTheFormerOneArrive_thenNoReply() {
    SimulatedCluster cluster = startedCluster(18);
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
  void givenIdleCore_whenTimePasses_thenEveryProcessConfirmsOften() {
    SimulatedCluster cluster = startedCluster(16);
    assertEquals(200, put(cluster, 0, "0", "3 first"));
    cluster.runFor(millis(1000));
    for (SimulatedCore core : cluster.cores()) {
      long age = core.localNow() - core.shards.confirmedAt();
      assertTrue(age < millis(400), "age " + age);
    }
  }
}
