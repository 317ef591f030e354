package nettletrail.control.shard;

import nettletrail.protocol.LeaseRelease;
import nettletrail.protocol.Member;
import nettletrail.protocol.PreVoteReply;
import nettletrail.protocol.PrepareReply;
import nettletrail.protocol.ProposalNumber;

/**
 * Holds the current {@link ReplicaState} of one replica and makes all transitions between states.
 *
 * <ul>
 *   <li>Follower to candidate: no owner's heartbeat was granted for a lease, plus a stagger by the
 *       replica's rank for the shard.
 *   <li>Candidate to owner: a majority has promised.
 *   <li>Candidate to follower: a majority can't be reached any more, or the phase has timed out.
 *   <li>Owner to candidate: a higher proposal number is known while the lease still runs; the
 *       replica prepares again without a pre-vote.
 *   <li>Owner to follower: a higher proposal number is known and the lease has ended.
 *   <li>Any state to follower: the process shuts down and releases its leases.
 * </ul>
 */
final class ReplicaStateMachine {

  private final int shard;
  private final Member self;
  private final ShardSettings settings;
  private final ActionQueue actionQueue;
  private final Acceptor acceptor;
  private final ElectionTimer electionTimer;
  private final FollowerState follower;
  private final OwnerContact ownerContact;

  private ReplicaState state;
  private ProposalNumber highestSeen = ProposalNumbers.ZERO;
  private boolean heartbeatRequested;
  private boolean released;

  /** Starts as a follower that starts no election before its voting starts. */
  ReplicaStateMachine(
      int shard,
      Member self,
      ShardSettings settings,
      ActionQueue actionQueue,
      Acceptor acceptor,
      ElectionTimer electionTimer,
      long votingStartsAt) {
    this.shard = shard;
    this.self = self;
    this.settings = settings;
    this.actionQueue = actionQueue;
    this.acceptor = acceptor;
    this.electionTimer = electionTimer;
    this.follower = new FollowerState(electionTimer);
    this.ownerContact = new OwnerContact(votingStartsAt - settings.leaseNanos());
    this.state = follower;
    electionTimer.postpone(acceptor.group(), votingStartsAt);
  }

  /** The system's initial version was accepted: the first election follows in turn. */
  void onBootstrap(long now) {
    electionTimer.postpone(acceptor.group(), now);
  }

  ReplicaState state() {
    return state;
  }

  /** The state of the owner, or null in other states. */
  OwnerState owner() {
    return state instanceof OwnerState owner ? owner : null;
  }

  OwnerContact ownerContact() {
    return ownerContact;
  }

  /** Ends an election that has timed out, or starts one that is due. */
  void tick(long now) {
    if (state instanceof CandidateState candidate && candidate.isExpired(now)) {
      endElection(candidate, now);
    }
    if (state instanceof FollowerState && follower.isElectionDue(now)) {
      startElectionIfEligible(now);
    }
  }

  // Elections

  private void startElectionIfEligible(long now) {
    boolean eligible =
        !released
            && acceptor.group().contains(self.getId())
            && !acceptor.isLeasedToOther(self.getId(), now);
    if (!eligible) {
      electionTimer.postpone(acceptor.group(), now);
      return;
    }
    startElection(CandidateState.Phase.PRE_VOTE, now);
  }

  private void startElection(CandidateState.Phase phase, long now) {
    ProposalNumber above = ProposalNumbers.max(highestSeen, acceptor.promised());
    ProposalNumber proposal = ProposalNumbers.next(above, self.getId());
    long deadline = now + settings.electionTimeoutNanos();
    CandidateState candidate =
        new CandidateState(shard, phase, proposal, acceptor.accepted(), deadline);
    state = candidate;
    candidate.sendRequests(actionQueue);
  }

  /** Becomes a follower after a lost election; the next one follows a random backoff. */
  private void endElection(CandidateState candidate, long now) {
    highestSeen = ProposalNumbers.max(highestSeen, candidate.highestSeen());
    state = follower;
    electionTimer.retry(acceptor.group(), now);
  }

  void onPreVoteReply(PreVoteReply reply, long now) {
    if (!(state instanceof CandidateState candidate)) {
      return;
    }
    candidate.onPreVoteReply(reply);
    if (candidate.phase() == CandidateState.Phase.PRE_VOTE && candidate.hasMajority()) {
      candidate.startPrepare(now + settings.electionTimeoutNanos());
      candidate.sendRequests(actionQueue);
    } else if (candidate.isLost()) {
      endElection(candidate, now);
    }
  }

  void onPrepareReply(PrepareReply reply, long now) {
    if (!(state instanceof CandidateState candidate)) {
      return;
    }
    candidate.onPrepareReply(reply);
    if (candidate.phase() != CandidateState.Phase.PREPARE) {
      return;
    }
    candidate.sendRequests(actionQueue);
    if (candidate.hasMajority() && candidate.group().contains(self.getId())) {
      becomeOwner(candidate, now);
    } else if (candidate.isLost()) {
      endElection(candidate, now);
    }
  }

  private void becomeOwner(CandidateState candidate, long now) {
    OwnerState owner =
        new OwnerState(
            shard, candidate.proposal(), candidate.newestVersion(), settings, actionQueue, now);
    if (ownerContact.isOtherThan(self.getId())) {
      owner.recordFormerOwnerContact(ownerContact.ownerId(), ownerContact.lastSeenAt());
    }
    state = owner;
    heartbeatRequested = true;
  }

  // Other proposers

  /** This replica has promised a proposal number to a candidate. */
  void onPromised(ProposalNumber proposal, long now) {
    electionTimer.deferToCandidate(acceptor.group(), now);
    onProposalSeen(proposal, now);
  }

  /** This replica has granted the heartbeat of an owner. */
  void onOwnerHeartbeat(ProposalNumber proposal, long now) {
    ownerContact.onHeartbeat(proposal.getNode(), now);
    electionTimer.postpone(acceptor.group(), now + settings.leaseNanos());
    onProposalSeen(proposal, now);
  }

  /** The owner has released its lease: the next election can start at once. */
  void onOwnerRelease(long now) {
    ownerContact.onRelease();
    electionTimer.advance(acceptor.group(), now);
  }

  /**
   * Notes a proposal number that some message names. An owner below it can't commit any more: it
   * prepares a higher one at once while its lease runs, and else follows.
   */
  void onProposalSeen(ProposalNumber proposal, long now) {
    highestSeen = ProposalNumbers.max(highestSeen, proposal);
    if (!(state instanceof OwnerState owner)
        || !ProposalNumbers.isAbove(proposal, owner.proposal())) {
      return;
    }
    boolean leaseRuns = now < owner.leaseUntil();
    state = follower;
    heartbeatRequested = false;
    if (leaseRuns) {
      startElection(CandidateState.Phase.PREPARE, now);
    } else {
      electionTimer.postpone(acceptor.group(), now + settings.electionStaggerNanos());
    }
  }

  /** Releases the lease, if this replica is the owner, and starts no election from now on. */
  void release() {
    OwnerState owner = owner();
    released = true;
    heartbeatRequested = false;
    state = follower;
    if (owner == null) {
      return;
    }
    for (Member member : owner.members()) {
      actionQueue.send(
          member.getAddress(), new LeaseRelease(shard, member.getId(), owner.proposal()));
    }
  }

  // Heartbeats out of turn

  /** Has the owner's next heartbeat sent at once. */
  void requestHeartbeat() {
    heartbeatRequested = true;
  }

  /** True if a heartbeat was requested since the last call. */
  boolean pollHeartbeatRequest() {
    boolean requested = heartbeatRequested;
    heartbeatRequested = false;
    return requested;
  }
}
