package nettletrail.control.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import nettletrail.control.ShardMap;
import nettletrail.protocol.OrderForward;
import nettletrail.protocol.OrderForwardReply;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import nettletrail.protocol.VersionReply;
import nettletrail.store.NodeIdentity;
import org.junit.jupiter.api.Test;

/** The answers of a partitioned owner while another process takes over from it. */
class OwnerFencingTest {
  private static final int OK = 200;
  private static final int PRECONDITION_FAILED = 412;
  private static final int UNAVAILABLE = 503;

  @Test
  void givenWriteInFlight_whenAnotherOwnersVersionHasItsSequence_thenItIsNotAcknowledged() {
    ScriptedOwner owner = ownerWithFirstConfiguration();
    owner.connected = false;
    long call = owner.put(3, "5 mine");
    owner.receive(ScriptedOwner.PEER, versionOfNewOwner(owner, "5 another"));
    assertEquals(UNAVAILABLE, owner.status(call));
  }

  @Test
  void givenWriteInFlight_whenTheNewOwnerHasCommittedIt_thenItIsAcknowledged() {
    ScriptedOwner owner = ownerWithFirstConfiguration();
    owner.connected = false;
    long call = owner.put(3, "5 mine");
    owner.receive(ScriptedOwner.PEER, versionOfNewOwner(owner, "5 mine"));
    assertEquals(OK, owner.status(call));
  }

  @Test
  void givenReadAtTheOwner_whenAnswered_thenValidUntilTheLeaseEnds() {
    ScriptedOwner owner = ownerWithFirstConfiguration();
    owner.connected = false;
    owner.pass(SimulatedCluster.millis(400));
    long call = owner.get();
    assertEquals(OK, owner.status(call));
    assertIsEndOfLease(owner, owner.answer(call).validUntil());
  }

  @Test
  void givenRejectionAtTheOwner_whenAnswered_thenValidUntilTheLeaseEnds() {
    ScriptedOwner owner = ownerWithFirstConfiguration();
    owner.connected = false;
    owner.pass(SimulatedCluster.millis(400));
    long call = owner.put(2, "5 on another edition");
    assertEquals(PRECONDITION_FAILED, owner.status(call));
    assertIsEndOfLease(owner, owner.answer(call).validUntil());
  }

  @Test
  void givenReadForAnotherProcess_whenAnswered_thenValidUntilTheLeaseEnds() {
    ScriptedOwner owner = ownerWithFirstConfiguration();
    owner.receive(ScriptedOwner.PEER, new OrderForward(7L, "GET", "", ByteBuffer.allocate(0)));
    CoreAction.Send reply = owner.sent.get(owner.sent.size() - 1);
    assertEquals(OK, assertInstanceOf(OrderForwardReply.class, reply.message()).getStatus());
    assertIsEndOfLease(owner, reply.validUntil());
  }

  @Test
  void givenAppliedChange_whenAcknowledged_thenValidForever() {
    ScriptedOwner owner = ownerWithFirstConfiguration();
    assertEquals(CoreAction.ALWAYS, owner.answer(owner.put(3, "5 next")).validUntil());
    assertEquals(CoreAction.ALWAYS, owner.answer(owner.put(3, "5 next")).validUntil());
  }

  @Test
  void givenExpiredLease_whenRequestsArrive_thenNoneIsRejectedAppliedOrRead() {
    ScriptedOwner owner = ownerWithFirstConfiguration();
    owner.connected = false;
    owner.pass(ShardSettings.defaults().leaseNanos());
    long read = owner.get();
    long stale = owner.put(2, "5 on another edition");
    long invalid = owner.put(3, "1 not above");
    long valid = owner.put(3, "5 next");
    owner.pass(ShardSettings.defaults().requestTimeoutNanos());
    for (long call : List.of(read, stale, invalid, valid)) {
      assertEquals(UNAVAILABLE, owner.status(call));
    }
  }

  @Test
  void givenProcessThatWasStopped_whenAReplyToAnOldCallArrives_thenItIsNotValidAnyMore() {
    ScriptedOwner process = new ScriptedOwner();
    process.followPeer();
    long call = process.get();
    CoreAction.Send forwarded = process.sent.get(process.sent.size() - 1);
    OrderForward change = assertInstanceOf(OrderForward.class, forwarded.message());
    process.now += ShardSettings.defaults().requestTimeoutNanos();
    process.receive(
        ScriptedOwner.PEER,
        OperatorResponses.rejected(change.getCall(), PRECONDITION_FAILED, 3, "another edition"));
    assertTrue(process.answer(call).validUntil() <= process.now);
  }

  private static void assertIsEndOfLease(ScriptedOwner owner, long instant) {
    assertTrue(owner.shards.owns(ShardMap.CONFIGURATION_SHARD, instant - 1));
    assertFalse(owner.shards.owns(ShardMap.CONFIGURATION_SHARD, instant));
  }

  private static ScriptedOwner ownerWithFirstConfiguration() {
    ScriptedOwner owner = ScriptedOwner.elected();
    long call = owner.put(0, "3 first");
    assertEquals(OK, owner.status(call));
    return owner;
  }

  /** The version after the owner's newest committed one, as committed by another owner. */
  private static VersionReply versionOfNewOwner(ScriptedOwner owner, String document) {
    ShardVersion before = owner.stored.get(ScriptedOwner.PEER);
    ProposalNumber proposal =
        new ProposalNumber(
            before.getProposal().getTerm() + 1, NodeIdentity.founding(ScriptedOwner.PEER).getId());
    byte[] json = document.getBytes(StandardCharsets.UTF_8);
    OrderForward change = new OrderForward(1L, "PUT", "3", ByteBuffer.wrap(json));
    ConfigurationState state =
        ConfigurationState.decode(before.getValue())
            .after(
                new ConfigurationRules.CheckedDocument(5, json), AppliedChanges.digest(change, 3));
    return new VersionReply(
        ShardMap.CONFIGURATION_SHARD,
        new ShardVersion(
            proposal,
            before.getSequence() + 1,
            List.copyOf(before.getMembers()),
            ByteBuffer.wrap(state.encode())));
  }
}
