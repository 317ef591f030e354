package nettletrail.control.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.List;
import nettletrail.protocol.Accept;
import nettletrail.protocol.AcceptReply;
import nettletrail.protocol.Member;
import nettletrail.protocol.PreVote;
import nettletrail.protocol.PreVoteReply;
import nettletrail.protocol.Prepare;
import nettletrail.protocol.PrepareReply;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardHeartbeat;
import nettletrail.protocol.ShardHeartbeatReply;
import nettletrail.protocol.ShardVersion;
import nettletrail.store.StoredShard;
import org.apache.avro.specific.SpecificRecord;
import org.junit.jupiter.api.Test;

/** Which requests an acceptor grants, and when it replies. */
class AcceptorTest {

  private static final ShardSettings SETTINGS = ShardSettings.defaults();
  private static final Member SELF = new Member("a:1#0", "a:1");
  private static final Member OWNER = new Member("b:1#0", "b:1");
  private static final Member CANDIDATE = new Member("c:1#0", "c:1");
  private static final long LEASE = SETTINGS.leaseNanos();

  private final ActionQueue actionQueue = new ActionQueue(SELF.getAddress());

  private Acceptor acceptor(long votingStartsAt) {
    StoredShard nothing = new StoredShard(null, null, List.of());
    return new Acceptor(0, SELF, SETTINGS, nothing, actionQueue, votingStartsAt);
  }

  private static ProposalNumber proposal(long lastAttempt, Member member) {
    return new ProposalNumber(lastAttempt, member.getId());
  }

  private static Accept accept(ProposalNumber proposal, long sequence) {
    List<Member> group = List.of(SELF, OWNER, CANDIDATE);
    ShardVersion version =
        new ShardVersion(proposal, sequence, group, ByteBuffer.wrap(new byte[] {1}));
    return new Accept(0, SELF.getId(), proposal, version);
  }

  private static Prepare prepare(ProposalNumber proposal) {
    return new Prepare(0, SELF.getId(), proposal);
  }

  private static ShardHeartbeat heartbeat(ProposalNumber proposal) {
    return new ShardHeartbeat(0, SELF.getId(), proposal, 0L);
  }

  private <T extends SpecificRecord> T onlySent(Class<T> type) {
    List<CoreAction> actions = actionQueue.drain();
    assertEquals(1, actions.size(), actions.toString());
    CoreAction.Send send = assertInstanceOf(CoreAction.Send.class, actions.get(0));
    return assertInstanceOf(type, send.message());
  }

  private long onlyStored() {
    List<CoreAction> actions = actionQueue.drain();
    assertEquals(1, actions.size(), actions.toString());
    return SimulatedStorage.ticket(actions.get(0));
  }

  @Test
  void givenPrepare_whenPromiseIsNotYetDurable_thenNoReply() {
    Acceptor acceptor = acceptor(0);
    acceptor.onPrepare("c:1", prepare(proposal(1, CANDIDATE)), 0);
    long ticket = onlyStored();
    acceptor.onStored(ticket, StoreOutcome.STORED);
    assertTrue(onlySent(PrepareReply.class).getGranted());
  }

  @Test
  void givenPrepare_whenStorageFails_thenRejected() {
    Acceptor acceptor = acceptor(0);
    acceptor.onPrepare("c:1", prepare(proposal(1, CANDIDATE)), 0);
    acceptor.onStored(onlyStored(), StoreOutcome.failed("full"));
    assertFalse(onlySent(PrepareReply.class).getGranted());
  }

  @Test
  void givenPromise_whenAcceptOfALowerProposalNumberArrives_thenRejected() {
    Acceptor acceptor = acceptor(0);
    acceptor.onPrepare("c:1", prepare(proposal(5, CANDIDATE)), 0);
    actionQueue.drain();
    acceptor.onAccept("b:1", accept(proposal(4, OWNER), 1));
    AcceptReply reply = onlySent(AcceptReply.class);
    assertFalse(reply.getAccepted());
    assertEquals(proposal(5, CANDIDATE), reply.getPromised());
  }

  @Test
  void givenPromise_whenPreparedWithTheSameProposalNumber_thenRejected() {
    Acceptor acceptor = acceptor(0);
    acceptor.onPrepare("c:1", prepare(proposal(5, CANDIDATE)), 0);
    actionQueue.drain();
    acceptor.onPrepare("c:1", prepare(proposal(5, CANDIDATE)), 0);
    assertFalse(onlySent(PrepareReply.class).getGranted());
  }

  @Test
  void givenJustStarted_whenPrepared_thenNoPromiseForAFullLease() {
    Acceptor acceptor = acceptor(LEASE);
    acceptor.onPrepare("c:1", prepare(proposal(1, CANDIDATE)), LEASE - 1);
    assertFalse(onlySent(PrepareReply.class).getGranted());
    acceptor.onPreVote("c:1", new PreVote(0, SELF.getId(), proposal(1, CANDIDATE)), LEASE - 1);
    assertFalse(onlySent(PreVoteReply.class).getGranted());
    acceptor.onPrepare("c:1", prepare(proposal(1, CANDIDATE)), LEASE);
    acceptor.onStored(onlyStored(), StoreOutcome.STORED);
    assertTrue(onlySent(PrepareReply.class).getGranted());
  }

  @Test
  void givenLease_whenAnotherPrepares_thenRejectedUntilItExpires() {
    Acceptor acceptor = acceptor(0);
    assertTrue(acceptor.onHeartbeat(heartbeat(proposal(1, OWNER)), 100).getGranted());
    acceptor.onPrepare("c:1", prepare(proposal(2, CANDIDATE)), 99 + LEASE);
    assertFalse(onlySent(PrepareReply.class).getGranted());
    acceptor.onPrepare("c:1", prepare(proposal(2, CANDIDATE)), 100 + LEASE);
    onlyStored();
  }

  @Test
  void givenLease_whenTheOwnerPreparesAgain_thenPromised() {
    Acceptor acceptor = acceptor(0);
    acceptor.onHeartbeat(heartbeat(proposal(1, OWNER)), 100);
    acceptor.onPrepare("b:1", prepare(proposal(2, OWNER)), 200);
    onlyStored();
  }

  @Test
  void givenLease_whenTheOwnerReleasesIt_thenAnotherMayPrepare() {
    Acceptor acceptor = acceptor(0);
    acceptor.onHeartbeat(heartbeat(proposal(1, OWNER)), 100);
    assertTrue(acceptor.onRelease(proposal(1, OWNER), 200));
    acceptor.onPrepare("c:1", prepare(proposal(2, CANDIDATE)), 200);
    onlyStored();
  }

  @Test
  void givenLaterLeaseOfTheSameNode_whenADelayedReleaseArrives_thenTheLeaseRemains() {
    Acceptor acceptor = acceptor(0);
    acceptor.onHeartbeat(heartbeat(proposal(3, OWNER)), 100);
    assertFalse(acceptor.onRelease(proposal(1, OWNER), 200));
    acceptor.onPrepare("c:1", prepare(proposal(4, CANDIDATE)), 200);
    assertFalse(onlySent(PrepareReply.class).getGranted());
  }

  @Test
  void givenJustStarted_whenALeaseIsReleased_thenStillNoPromiseForAFullLease() {
    Acceptor acceptor = acceptor(LEASE);
    acceptor.onHeartbeat(heartbeat(proposal(1, OWNER)), 100);
    acceptor.onRelease(proposal(1, OWNER), 200);
    acceptor.onPrepare("c:1", prepare(proposal(2, CANDIDATE)), 300);
    assertFalse(onlySent(PrepareReply.class).getGranted());
  }

  @Test
  void givenPromiseBeingStored_whenAnOlderOwnerSendsAHeartbeat_thenNoLease() {
    Acceptor acceptor = acceptor(0);
    acceptor.onPrepare("c:1", prepare(proposal(5, CANDIDATE)), 0);
    actionQueue.drain();
    ShardHeartbeatReply reply = acceptor.onHeartbeat(heartbeat(proposal(4, OWNER)), 1);
    assertFalse(reply.getGranted());
    assertFalse(acceptor.isLeasedToOther(CANDIDATE.getId(), 1));
  }

  @Test
  void givenVersionBeingStored_whenPrepared_thenThePromiseNamesIt() {
    Acceptor acceptor = acceptor(0);
    acceptor.onAccept("b:1", accept(proposal(1, OWNER), 3));
    long storingVersion = onlyStored();
    acceptor.onPrepare("c:1", prepare(proposal(2, CANDIDATE)), 0);
    assertTrue(actionQueue.drain().isEmpty());
    acceptor.onStored(storingVersion, StoreOutcome.STORED);
    List<CoreAction> actions = actionQueue.drain();
    CoreAction.StorePromise promise =
        assertInstanceOf(CoreAction.StorePromise.class, actions.get(1));
    acceptor.onStored(promise.ticket(), StoreOutcome.STORED);
    PrepareReply reply = onlySent(PrepareReply.class);
    assertTrue(reply.getGranted());
    assertEquals(3, reply.getAccepted().getSequence());
  }

  @Test
  void givenVersionThatFailedToStore_whenPrepared_thenThePromiseDoesNotNameIt() {
    Acceptor acceptor = acceptor(0);
    acceptor.onAccept("b:1", accept(proposal(1, OWNER), 3));
    acceptor.onStored(onlyStored(), StoreOutcome.failed("full"));
    assertEquals("full", onlySent(AcceptReply.class).getFailure());
    acceptor.onPrepare("c:1", prepare(proposal(2, CANDIDATE)), 0);
    acceptor.onStored(onlyStored(), StoreOutcome.STORED);
    assertNull(onlySent(PrepareReply.class).getAccepted());
  }

  @Test
  void givenPromiseSupersededWhileBeingStored_whenDurable_thenRejected() {
    Acceptor acceptor = acceptor(0);
    acceptor.onPrepare("c:1", prepare(proposal(2, CANDIDATE)), 0);
    long ticket = onlyStored();
    acceptor.onAccept("b:1", accept(proposal(3, OWNER), 1));
    assertTrue(actionQueue.drain().isEmpty());
    acceptor.onStored(ticket, StoreOutcome.STORED);
    CoreAction.Send send = assertInstanceOf(CoreAction.Send.class, actionQueue.drain().get(0));
    assertFalse(((PrepareReply) send.message()).getGranted());
  }

  @Test
  void givenStalledStorage_whenManyVersionsArrive_thenOnlyTheNewestIsPending() {
    Acceptor acceptor = acceptor(0);
    for (long sequence = 1; sequence <= 100; sequence++) {
      acceptor.onAccept("b:1", accept(proposal(1, OWNER), sequence));
    }
    acceptor.onStored(onlyStored(), StoreOutcome.STORED);
    List<CoreAction> actions = actionQueue.drain();
    CoreAction.StoreVersion next = assertInstanceOf(CoreAction.StoreVersion.class, actions.get(1));
    assertEquals(100, next.version().getSequence());
  }

  @Test
  void givenStoredState_whenRestarted_thenPromiseIsTheHigherOfFileAndVersion() {
    ShardVersion version = accept(proposal(7, OWNER), 3).getVersion();
    StoredShard stored = new StoredShard(proposal(4, CANDIDATE), version, List.of());
    Acceptor acceptor = new Acceptor(0, SELF, SETTINGS, stored, actionQueue, 0);
    assertEquals(proposal(7, OWNER), acceptor.promised());
    acceptor.onPrepare("c:1", prepare(proposal(6, CANDIDATE)), 0);
    assertFalse(onlySent(PrepareReply.class).getGranted());
  }
}
