package nettletrail.control.shard;

import java.util.List;
import java.util.SplittableRandom;
import nettletrail.protocol.Accept;
import nettletrail.protocol.AcceptReply;
import nettletrail.protocol.LeaseRelease;
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

/**
 * This process' replica of one shard. Routes the shard's messages to the {@link Acceptor}, which
 * votes, and to the {@link ReplicaStateMachine}, which proposes; knows the newest committed
 * version.
 */
final class ShardReplica {

  /** In place of a count of losses where this process is not the owner. */
  static final int UNKNOWN = -1;

  private final int shard;
  private final Member self;
  private final ShardSettings settings;
  private final ActionQueue actionQueue;
  private final Acceptor acceptor;
  private final ReplicaStateMachine stateMachine;
  private final OwnerWrites ownerWrites;
  private ShardVersion committed;

  /**
   * Starts as a follower.
   *
   * @param stored the replica's state on disk
   * @param votingStartsAt before this instant the replica promises nothing
   */
  ShardReplica(
      int shard,
      Member self,
      ShardSettings settings,
      StoredShard stored,
      ActionQueue actionQueue,
      SplittableRandom random,
      long votingStartsAt) {
    this.shard = shard;
    this.self = self;
    this.settings = settings;
    this.actionQueue = actionQueue;
    this.acceptor = new Acceptor(shard, self, settings, stored, actionQueue, votingStartsAt);
    ElectionTimer electionTimer = new ElectionTimer(shard, self.getAddress(), settings, random);
    this.stateMachine =
        new ReplicaStateMachine(
            shard, self, settings, actionQueue, acceptor, electionTimer, votingStartsAt);
    this.ownerWrites = new OwnerWrites(stateMachine, self, settings);
  }

  /** Accepts the version that the shard starts from. */
  void bootstrap(ShardVersion initial, long now) {
    acceptor.bootstrap(initial);
    onBootstrapped(now);
  }

  /** The version that the shard starts from has been accepted, by this process or its store. */
  void onBootstrapped(long now) {
    stateMachine.onBootstrap(now);
    ownerWrites.awaitFullGroup(now);
  }

  // Views

  /** True while this process holds the owner's lease and has committed a version under it. */
  boolean owns(long now) {
    return stateMachine.state().holdsLease(now);
  }

  /** The fencing token, or null if this process is not the owner. */
  ProposalNumber token() {
    return stateMachine.state().fencingToken();
  }

  /** The end of the lease; only while {@link #owns}. */
  long leaseUntil() {
    return stateMachine.owner().leaseUntil();
  }

  /** How long the lease as owner still runs, in nanoseconds; 0 if there is none. */
  long leaseLeft(long now) {
    return owns(now) ? leaseUntil() - now : 0;
  }

  /** The owner's address as far as known, else empty. */
  String ownerAddress(long now) {
    if (owns(now)) {
      return self.getAddress();
    }
    OwnerContact contact = stateMachine.ownerContact();
    boolean recent = now - contact.lastSeenAt() <= settings.leaseNanos();
    Member owner = recent ? group().find(contact.ownerId()) : null;
    return owner == null || owner.getId().equals(self.getId()) ? "" : owner.getAddress();
  }

  /** When an owner's heartbeat was last granted. */
  long ownerLastSeenAt() {
    return stateMachine.ownerContact().lastSeenAt();
  }

  /** The group that the newest accepted version names; empty where there is none. */
  ReplicaGroup group() {
    return acceptor.group();
  }

  /** The latest change of the group that this process has committed as the owner, or null. */
  GroupChange lastGroupChange() {
    return ownerWrites.lastCommittedChange();
  }

  /**
   * How many members the group tolerates to lose now; {@link #UNKNOWN} unless this process owns.
   */
  int furtherLossesTolerated(long now) {
    return owns(now) ? ownerWrites.furtherLossesTolerated(now) : UNKNOWN;
  }

  /** The newest durable version here, or null. */
  ShardVersion accepted() {
    return acceptor.accepted();
  }

  /** The newest version that is known to be committed, or null. */
  ShardVersion committed() {
    return committed;
  }

  /** A one-line description of the state, for tests and logs. */
  String describe(long now) {
    ShardVersion accepted = acceptor.accepted();
    return stateMachine.state().role()
        + (owns(now) ? " with lease" : "")
        + ", accepted "
        + (accepted == null ? "nothing" : VersionStamp.of(accepted))
        + ", promised "
        + acceptor.promised()
        + ", group "
        + group().members().stream().map(Member::getId).toList();
  }

  // Time and storage

  /** Ends and starts elections that are due, and changes the group where it should. */
  void tick(long now) {
    stateMachine.tick(now);
    ownerWrites.changeGroup(now);
  }

  /** Takes the outcome of a storage operation; false if the ticket belongs to another replica. */
  boolean onStored(long ticket, StoreOutcome outcome) {
    return acceptor.onStored(ticket, outcome);
  }

  // Requests of other processes; each names the identity that it is meant for

  void onPreVote(String address, PreVote request, long now) {
    if (isForSelf(request.getRecipient())) {
      acceptor.onPreVote(address, request, now);
    }
  }

  void onPrepare(String address, Prepare request, long now) {
    if (isForSelf(request.getRecipient()) && acceptor.onPrepare(address, request, now)) {
      stateMachine.onPromised(request.getProposal(), now);
    }
  }

  void onAccept(String address, Accept request, long now) {
    if (isForSelf(request.getRecipient())) {
      acceptor.onAccept(address, request);
      stateMachine.onProposalSeen(request.getProposal(), now);
    }
  }

  /** Answers a heartbeat, or returns null if it is meant for another identity. */
  ShardHeartbeatReply onHeartbeat(ShardHeartbeat heartbeat, long now) {
    if (!isForSelf(heartbeat.getRecipient())) {
      return null;
    }
    ShardHeartbeatReply reply = acceptor.onHeartbeat(heartbeat, now);
    if (reply.getGranted()) {
      stateMachine.onOwnerHeartbeat(heartbeat.getProposal(), now);
      learnCommittedFrom(heartbeat);
    }
    return reply;
  }

  private void learnCommittedFrom(ShardHeartbeat heartbeat) {
    ShardVersion accepted = acceptor.accepted();
    if (accepted != null
        && accepted.getProposal().equals(heartbeat.getProposal())
        && accepted.getSequence() <= heartbeat.getCommittedSequence()) {
      learnCommitted(accepted);
    }
  }

  void onRelease(LeaseRelease release, long now) {
    if (isForSelf(release.getRecipient()) && acceptor.onRelease(release.getProposal(), now)) {
      stateMachine.onOwnerRelease(now);
    }
  }

  /** A process asks to join the group; only the owner takes note. */
  void onJoinRequest(Member joiner, long now) {
    ownerWrites.onJoinRequest(joiner, now);
  }

  /** A member asks to leave the group; true once the owner, if it is this process, is done. */
  boolean onLeaveRequest(Member member, long now) {
    return ownerWrites.onLeaveRequest(member, now);
  }

  /** True if the newest version that is known to be committed names this process no more. */
  boolean hasRemovedItself() {
    return committed != null && !new ReplicaGroup(committed.getMembers()).contains(self.getId());
  }

  private boolean isForSelf(String recipient) {
    return recipient.equals(self.getId());
  }

  // Replies to this process

  void onPreVoteReply(PreVoteReply reply, long now) {
    stateMachine.onPreVoteReply(reply, now);
  }

  void onPrepareReply(PrepareReply reply, long now) {
    stateMachine.onPrepareReply(reply, now);
  }

  void onAcceptReply(AcceptReply reply, long now) {
    OwnerState owner = stateMachine.owner();
    if (owner == null) {
      return;
    }
    if (owner.onAcceptReply(reply, now)) {
      onCommit(owner, now);
    }
    stateMachine.onProposalSeen(reply.getPromised(), now);
  }

  /** Takes the answer to a heartbeat that this process sent at that instant. */
  void onHeartbeatReply(String sender, long sentAt, ShardHeartbeatReply reply, long now) {
    OwnerState owner = stateMachine.owner();
    if (owner == null) {
      return;
    }
    if (owner.onHeartbeatReply(sender, sentAt, reply, now)) {
      onCommit(owner, now);
    }
    stateMachine.onProposalSeen(reply.getPromised(), now);
  }

  private void onCommit(OwnerState owner, long now) {
    learnCommitted(owner.committed());
    GroupChange change = ownerWrites.pollCommittedChange();
    if (change != null) {
      actionQueue.add(
          new CoreAction.GroupChanged(
              shard, change.kind(), change.member().getId(), change.group().size()));
    }
    if (hasRemovedItself()) {
      stateMachine.release();
      return;
    }
    stateMachine.requestHeartbeat();
    ownerWrites.changeGroup(now);
  }

  /** Takes a version that is committed, from whichever process it came. */
  void learnCommitted(ShardVersion version) {
    if (committed == null || version.getSequence() > committed.getSequence()) {
      committed = version;
    }
  }

  // The owner's writes and heartbeats

  /** True if the owner may write a value, see {@link OwnerWrites#isWritable}. */
  boolean writable(long now) {
    return ownerWrites.isWritable(now);
  }

  /** Writes a value as the next version; only while {@link #writable}. */
  ShardVersion write(byte[] value, long now) {
    return ownerWrites.write(value, now);
  }

  /** Releases the lease, if this process is the owner, and starts no election from now on. */
  void release() {
    stateMachine.release();
  }

  /** The members that heartbeats go to; empty unless this process is the owner. */
  List<Member> heartbeatTargets() {
    OwnerState owner = stateMachine.owner();
    return owner == null ? List.of() : owner.members();
  }

  /** This shard's part of a heartbeat to one of the {@link #heartbeatTargets}. */
  ShardHeartbeat heartbeat(Member member) {
    return stateMachine.owner().heartbeat(member);
  }

  /** True, once, if members should get a heartbeat at once instead of in turn. */
  boolean pollHeartbeatRequest() {
    return stateMachine.pollHeartbeatRequest();
  }
}
