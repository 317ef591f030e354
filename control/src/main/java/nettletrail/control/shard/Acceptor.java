package nettletrail.control.shard;

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

/**
 * The acceptor of Paxos for one replica: the highest proposal number that it promised, the newest
 * version that it accepted, and the lease that it granted.
 *
 * <p>A proposal number is promised only if it is above all promised before, no other owner's lease
 * runs, and a full lease has passed since the process started: leases are not on disk, so one that
 * an earlier incarnation granted may still run. Replies to prepare and accept requests are sent
 * once their content is durable.
 *
 * <p>One storage operation is in flight at a time. A pending version is stored before a pending
 * promise, so that the promise names every version below its proposal number that this replica has
 * acknowledged or will acknowledge.
 */
final class Acceptor {

  /** A prepare request that is answered once the promise is durable. */
  private record PendingPrepare(String address, ProposalNumber proposal) {}

  /**
   * A version that is acknowledged once it is durable.
   *
   * @param address the proposer's, or null if nobody waits for a reply
   */
  private record PendingAccept(String address, ShardVersion version) {}

  private static final long NO_TICKET = -1;

  private final int shard;
  private final Member self;
  private final ShardSettings settings;
  private final ActionQueue actionQueue;
  private final long votingStartsAt;

  private ProposalNumber promised;
  private ShardVersion accepted;

  private ProposalNumber leaseProposal = ProposalNumbers.ZERO;
  private long leaseUntil = Long.MIN_VALUE;

  private PendingPrepare pendingPrepare;
  private PendingAccept pendingAccept;
  private long storingTicket = NO_TICKET;
  private PendingPrepare storingPrepare;
  private PendingAccept storingAccept;

  Acceptor(
      int shard,
      Member self,
      ShardSettings settings,
      StoredShard stored,
      ActionQueue actionQueue,
      long votingStartsAt) {
    this.shard = shard;
    this.self = self;
    this.settings = settings;
    this.actionQueue = actionQueue;
    this.votingStartsAt = votingStartsAt;
    this.accepted = stored.version();
    this.promised =
        ProposalNumbers.max(stored.promised(), accepted == null ? null : accepted.getProposal());
  }

  /** The highest proposal number that it promised, durable or being stored. */
  ProposalNumber promised() {
    return promised;
  }

  /** The newest version that is durable here, or null. */
  ShardVersion accepted() {
    return accepted;
  }

  /** The group that the newest durable version names; empty where there is none. */
  ReplicaGroup group() {
    return new ReplicaGroup(accepted == null ? List.of() : accepted.getMembers());
  }

  /**
   * True while a lease that was granted to another node runs, or may run from an earlier
   * incarnation.
   */
  boolean isLeasedToOther(String node, long now) {
    if (now < votingStartsAt) {
      return true;
    }
    return now < leaseUntil && !leaseProposal.getNode().equals(node);
  }

  /**
   * Accepts the version that the system starts from, without a proposer. It counts as accepted
   * before it is durable: it is the same at all members and contains no change, so a loss of power
   * that takes it back takes back nothing that was acknowledged to an operator. Every later version
   * is complete and is acknowledged only once it is durable.
   */
  void bootstrap(ShardVersion initial) {
    accepted = initial;
    pendingAccept = new PendingAccept(null, initial);
    startStoring();
  }

  /** Answers a pre-vote, which promises nothing. */
  void onPreVote(String address, PreVote request, long now) {
    boolean granted = canPromise(request.getProposal(), now);
    actionQueue.send(
        address, new PreVoteReply(shard, self.getId(), request.getProposal(), granted, promised));
  }

  /** Returns true if the proposal number is promised; the reply follows once it is durable. */
  boolean onPrepare(String address, Prepare request, long now) {
    ProposalNumber proposal = request.getProposal();
    if (!canPromise(proposal, now)) {
      actionQueue.send(
          address, new PrepareReply(shard, self.getId(), proposal, false, promised, null));
      return false;
    }
    promised = proposal;
    pendingPrepare = new PendingPrepare(address, proposal);
    startStoring();
    return true;
  }

  private boolean canPromise(ProposalNumber proposal, long now) {
    return ProposalNumbers.isAbove(proposal, promised) && !isLeasedToOther(proposal.getNode(), now);
  }

  /** Accepts a version unless a higher proposal number is promised. */
  void onAccept(String address, Accept request) {
    ShardVersion version = request.getVersion();
    if (ProposalNumbers.isAbove(promised, version.getProposal())) {
      replyAccept(address, version, false, "");
      return;
    }
    int order = VersionStamp.compare(version, accepted);
    if (order == 0) {
      replyAccept(address, version, true, "");
    }
    if (order <= 0 || isSuperseded(version)) {
      return;
    }
    promised = ProposalNumbers.max(promised, version.getProposal());
    pendingAccept = new PendingAccept(address, version);
    startStoring();
  }

  /** True if this version or a newer one is being stored or is to be stored next. */
  private boolean isSuperseded(ShardVersion version) {
    boolean storing =
        storingAccept != null && VersionStamp.compare(version, storingAccept.version()) <= 0;
    boolean pending =
        pendingAccept != null && VersionStamp.compare(version, pendingAccept.version()) <= 0;
    return storing || pending;
  }

  /** Grants or renews the owner's lease unless a higher proposal number is promised. */
  ShardHeartbeatReply onHeartbeat(ShardHeartbeat heartbeat, long now) {
    boolean granted = !ProposalNumbers.isAbove(promised, heartbeat.getProposal());
    if (granted) {
      leaseProposal = heartbeat.getProposal();
      leaseUntil = Math.max(leaseUntil, now + settings.leaseNanos());
    }
    return new ShardHeartbeatReply(
        shard,
        granted,
        promised,
        accepted == null ? null : accepted.getProposal(),
        accepted == null ? 0L : accepted.getSequence());
  }

  /** Ends the lease that was granted under this proposal number; false if another one runs. */
  boolean onRelease(ProposalNumber proposal, long now) {
    if (!leaseProposal.equals(proposal)) {
      return false;
    }
    leaseUntil = Math.min(leaseUntil, now);
    return true;
  }

  /**
   * Takes the outcome of the storage operation in flight; false if the ticket belongs to another
   * replica.
   */
  boolean onStored(long ticket, StoreOutcome outcome) {
    if (ticket != storingTicket) {
      return false;
    }
    PendingAccept storedAccept = storingAccept;
    PendingPrepare storedPrepare = storingPrepare;
    storingTicket = NO_TICKET;
    storingAccept = null;
    storingPrepare = null;
    if (storedAccept != null) {
      finishAccept(storedAccept, outcome);
    }
    if (storedPrepare != null) {
      finishPrepare(storedPrepare, outcome);
    }
    startStoring();
    return true;
  }

  private void finishAccept(PendingAccept done, StoreOutcome outcome) {
    if (outcome.stored()) {
      accepted = done.version();
    }
    if (done.address() != null) {
      replyAccept(done.address(), done.version(), outcome.stored(), outcome.failure());
    }
  }

  private void finishPrepare(PendingPrepare done, StoreOutcome outcome) {
    boolean overtaken = ProposalNumbers.isAbove(promised, done.proposal());
    boolean granted = outcome.stored() && !overtaken;
    actionQueue.send(
        done.address(),
        new PrepareReply(
            shard, self.getId(), done.proposal(), granted, promised, granted ? accepted : null));
  }

  private void startStoring() {
    if (storingTicket != NO_TICKET) {
      return;
    }
    if (pendingAccept != null) {
      storingAccept = pendingAccept;
      pendingAccept = null;
      storingTicket = actionQueue.storeVersion(shard, storingAccept.version());
    } else if (pendingPrepare != null) {
      storingPrepare = pendingPrepare;
      pendingPrepare = null;
      storingTicket = actionQueue.storePromise(shard, storingPrepare.proposal());
    }
  }

  private void replyAccept(String address, ShardVersion version, boolean stored, String failure) {
    actionQueue.send(
        address,
        new AcceptReply(
            shard,
            self.getId(),
            version.getProposal(),
            version.getSequence(),
            stored,
            promised,
            failure));
  }
}
