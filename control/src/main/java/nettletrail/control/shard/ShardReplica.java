package nettletrail.control.shard;

import java.nio.ByteBuffer;
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
 * One process' part in one shard: voter, candidate and owner.
 *
 * <p>States: follower (neither election nor ownership), candidate, owner. A follower that has heard
 * no owner for a lease, plus a stagger by its rank for the shard, becomes a candidate; a candidate
 * that finds a majority becomes owner; an owner that meets a higher ballot prepares anew if its
 * lease still runs, else it becomes a follower.
 */
final class ShardReplica {

  private final int shard;
  private final Member self;
  private final ShardSettings settings;
  private final ActionQueue actionQueue;
  private final Acceptor acceptor;
  private final GroupChanges groupChanges;
  private final ElectionTimer electionTimer;

  private CandidateState election;
  private OwnerState ownership;
  private ShardVersion knownCommitted;
  private ProposalNumber highestSeen = ProposalNumbers.ZERO;
  private String ownerId = "";
  private long ownerLastSeenAt;
  private boolean heartbeatRequested;
  private boolean released;
  private long bootstrapWaitUntil = Long.MIN_VALUE;

  /** Starts as a follower; promisesFrom is the instant before which it promises nothing. */
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
    this.groupChanges = new GroupChanges(settings);
    this.electionTimer = new ElectionTimer(shard, self.getAddress(), settings, random);
    this.ownerLastSeenAt = votingStartsAt - settings.lease();
    electionTimer.postpone(group(), votingStartsAt);
  }

  /** Gives the replica the version that the whole system starts from. */
  void bootstrap(ShardVersion initial, long now) {
    acceptor.bootstrap(initial);
    electionTimer.postpone(group(), now);
    bootstrapWaitUntil = now + settings.bootstrapWait();
  }

  // Views

  /** True while this process holds the owner's lease and has committed under its ballot. */
  boolean owns(long now) {
    return ownership != null && ownership.committed() != null && now < ownership.leaseUntil();
  }

  /** The fencing token: the own ballot, or null when this process is not the owner. */
  ProposalNumber token() {
    return ownership == null ? null : ownership.proposal();
  }

  /** The end of the lease; only while {@link #owns}. */
  long leaseUntil() {
    return ownership.leaseUntil();
  }

  /** How long the lease as owner still runs, in nanoseconds; 0 if there is none. */
  long leaseLeft(long now) {
    return owns(now) ? ownership.leaseUntil() - now : 0;
  }

  /** The owner's address as far as known, else empty. */
  String ownerAddress(long now) {
    if (owns(now)) {
      return self.getAddress();
    }
    boolean fresh = now - ownerLastSeenAt <= settings.lease();
    Member owner = fresh ? group().find(ownerId) : null;
    return owner == null || ownerId.equals(self.getId()) ? "" : owner.getAddress();
  }

  /** When an owner's heartbeat was last granted. */
  long ownerLastSeenAt() {
    return ownerLastSeenAt;
  }

  /** The group that the newest accepted version names; empty where there is none. */
  ReplicaGroup group() {
    ShardVersion accepted = acceptor.accepted();
    return new ReplicaGroup(accepted == null ? List.of() : accepted.getMembers());
  }

  /** The newest durable version here, or null. */
  ShardVersion accepted() {
    return acceptor.accepted();
  }

  /** The newest version that is known to be committed, or null. */
  ShardVersion committed() {
    return knownCommitted;
  }

  /**
   * True when the owner may write a value: its lease holds, no write is in flight, and the group is
   * large enough. After the first start of the whole system a group that is still to grow is waited
   * for, but not for long: there may be fewer machines.
   */
  boolean writable(long now) {
    return settled(now) && (now >= bootstrapWaitUntil || hasFullGroup());
  }

  private boolean hasFullGroup() {
    return ownership.committed().getMembers().size() >= settings.fullGroup();
  }

  private boolean settled(long now) {
    return owns(now) && ownership.settled();
  }

  // The owner's writes

  /** Writes a value as the next version; only while {@link #writable}. */
  ShardVersion write(byte[] value, long now) {
    ReplicaGroup group = new ReplicaGroup(ownership.committed().getMembers());
    return ownership.write(ByteBuffer.wrap(value), group, now);
  }

  void onJoinRequest(Member joiner, long now) {
    if (ownership != null) {
      groupChanges.onJoinRequest(joiner, now);
    }
  }

  // Voting

  void onPreVote(String address, PreVote request, long now) {
    if (isForSelf(request.getRecipient())) {
      acceptor.onPreVote(address, request, now);
    }
  }

  void onPrepare(String address, Prepare request, long now) {
    if (isForSelf(request.getRecipient()) && acceptor.onPrepare(address, request, now)) {
      electionTimer.deferToCandidate(group(), now);
      deposeBy(request.getProposal(), now);
    }
  }

  void onAccept(String address, Accept request, long now) {
    if (isForSelf(request.getRecipient())) {
      acceptor.onAccept(address, request);
      deposeBy(request.getProposal(), now);
    }
  }

  /** Answers a heartbeat, or null if it is meant for another identity. */
  ShardHeartbeatReply onHeartbeat(ShardHeartbeat heartbeat, long now) {
    if (!isForSelf(heartbeat.getRecipient())) {
      return null;
    }
    ShardHeartbeatReply reply = acceptor.onHeartbeat(heartbeat, now);
    if (reply.getGranted()) {
      onOwnerContact(heartbeat, now);
    }
    return reply;
  }

  private void onOwnerContact(ShardHeartbeat heartbeat, long now) {
    ownerId = heartbeat.getProposal().getNode();
    ownerLastSeenAt = now;
    electionTimer.postpone(group(), now + settings.lease());
    deposeBy(heartbeat.getProposal(), now);
    ShardVersion accepted = acceptor.accepted();
    if (accepted != null
        && accepted.getProposal().equals(heartbeat.getProposal())
        && accepted.getSequence() <= heartbeat.getCommittedSequence()) {
      learnCommitted(accepted);
    }
  }

  /** The owner ends in good order: another may be elected at once. */
  void onRelease(LeaseRelease release, long now) {
    if (isForSelf(release.getRecipient()) && acceptor.onRelease(release.getProposal(), now)) {
      ownerId = "";
      electionTimer.advance(group(), now);
    }
  }

  /** Gives back the lease, if this process owns the shard, and stands for no election any more. */
  void release() {
    released = true;
    election = null;
    heartbeatRequested = false;
    if (ownership == null) {
      return;
    }
    for (Member member : ownership.members()) {
      actionQueue.send(
          member.getAddress(), new LeaseRelease(shard, member.getId(), ownership.proposal()));
    }
    ownership = null;
  }

  boolean onStored(long ticket, StoreOutcome outcome) {
    return acceptor.onStored(ticket, outcome);
  }

  /** Takes a version that is committed, as learnt from any process. */
  void learnCommitted(ShardVersion version) {
    if (knownCommitted == null || version.getSequence() > knownCommitted.getSequence()) {
      knownCommitted = version;
    }
  }

  private boolean isForSelf(String recipient) {
    return recipient.equals(self.getId());
  }

  // Candidacy

  /** Starts, ends and advances whatever is due. */
  void tick(long now) {
    if (election != null && now >= election.deadline()) {
      endElection(now);
    }
    if (ownership != null) {
      changeGroup(now);
    } else if (election == null && electionTimer.isDue(now)) {
      standForElection(now);
    }
  }

  /** Tries again after a while that differs between candidates. */
  private void endElection(long now) {
    highestSeen = ProposalNumbers.max(highestSeen, election.highestSeen());
    election = null;
    electionTimer.retry(group(), now);
  }

  private void standForElection(long now) {
    boolean eligible =
        !released && group().contains(self.getId()) && !acceptor.isLeasedToOther(self.getId(), now);
    if (!eligible) {
      electionTimer.postpone(group(), now);
      return;
    }
    startElection(CandidateState.Phase.PRE_VOTE, now);
  }

  private void startElection(CandidateState.Phase phase, long now) {
    ProposalNumber above = ProposalNumbers.max(highestSeen, acceptor.promised());
    ProposalNumber proposal = ProposalNumbers.next(above, self.getId());
    election =
        new CandidateState(phase, proposal, acceptor.accepted(), now + settings.electionTimeout());
    askMembers();
  }

  private void askMembers() {
    for (Member member : election.takeUnasked()) {
      actionQueue.send(member.getAddress(), election.request(shard, member));
    }
  }

  void onPreVoteReply(PreVoteReply reply, long now) {
    if (election == null) {
      return;
    }
    election.onPreVoteReply(reply);
    if (election.phase() == CandidateState.Phase.PRE_VOTE && election.hasMajority()) {
      election.startPrepare(now + settings.electionTimeout());
      askMembers();
    } else if (election.isLost()) {
      endElection(now);
    }
  }

  void onPrepareReply(PrepareReply reply, long now) {
    if (election == null) {
      return;
    }
    election.onPrepareReply(reply);
    if (election.phase() != CandidateState.Phase.PREPARE) {
      return;
    }
    askMembers();
    if (election.hasMajority() && election.group().contains(self.getId())) {
      takeOwnership(now);
    } else if (election.isLost()) {
      endElection(now);
    }
  }

  private void takeOwnership(long now) {
    ownership =
        new OwnerState(shard, election.proposal(), election.newest(), settings, actionQueue, now);
    if (!ownerId.isEmpty() && !ownerId.equals(self.getId())) {
      ownership.recordFormerOwnerContact(ownerId, ownerLastSeenAt);
    }
    election = null;
    heartbeatRequested = true;
  }

  // Ownership

  void onAcceptReply(AcceptReply reply, long now) {
    if (ownership == null) {
      return;
    }
    if (ownership.onAcceptReply(reply, now)) {
      onCommit(now);
    }
    deposeBy(reply.getPromised(), now);
  }

  void onHeartbeatReply(String sender, long askedAt, ShardHeartbeatReply reply, long now) {
    if (ownership == null) {
      return;
    }
    if (ownership.onHeartbeatReply(sender, askedAt, reply, now)) {
      onCommit(now);
    }
    deposeBy(reply.getPromised(), now);
  }

  /**
   * A change of the group that is due goes before the next value, so that values can't delay it.
   */
  private void onCommit(long now) {
    learnCommitted(ownership.committed());
    heartbeatRequested = true;
    changeGroup(now);
  }

  /**
   * Ends the ownership if a higher ballot is known; takes a new ballot at once while the lease
   * still runs.
   */
  private void deposeBy(ProposalNumber proposal, long now) {
    highestSeen = ProposalNumbers.max(highestSeen, proposal);
    if (ownership == null || !ProposalNumbers.above(proposal, ownership.proposal())) {
      return;
    }
    boolean leaseRuns = now < ownership.leaseUntil();
    ownership = null;
    heartbeatRequested = false;
    if (leaseRuns) {
      startElection(CandidateState.Phase.PREPARE, now);
    } else {
      electionTimer.postpone(group(), now + settings.electionStagger());
    }
  }

  private void changeGroup(long now) {
    if (!settled(now)) {
      return;
    }
    ReplicaGroup current = new ReplicaGroup(ownership.committed().getMembers());
    ReplicaGroup changed = groupChanges.next(current, self, ownership, now);
    if (changed != null) {
      ownership.write(ownership.committed().getValue(), changed, now);
    }
  }

  /** The state in words, for tests and logs. */
  String describe(long now) {
    ShardVersion accepted = acceptor.accepted();
    String role = ownership != null ? "owner" : election != null ? "candidate" : "follower";
    return role
        + (owns(now) ? " with lease" : "")
        + ", accepted "
        + (accepted == null ? "nothing" : VersionStamp.of(accepted))
        + ", promised "
        + acceptor.promised()
        + ", group "
        + group().members().stream().map(Member::getId).toList();
  }

  /** The members that heartbeats go to; empty unless this process writes as owner. */
  List<Member> heartbeatTargets() {
    return ownership == null ? List.of() : ownership.heartbeatTargets();
  }

  ShardHeartbeat heartbeat(Member member) {
    return ownership.heartbeat(member);
  }

  /** True once after something that the members should hear at once. */
  boolean takeHeartbeatRequest() {
    boolean requested = heartbeatRequested;
    heartbeatRequested = false;
    return requested;
  }
}
