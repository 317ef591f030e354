package nettletrail.control.shard;

import nettletrail.control.ShardMap;
import nettletrail.protocol.ConfirmQuery;
import nettletrail.protocol.ConfirmReply;
import nettletrail.protocol.Member;
import nettletrail.protocol.ShardVersion;
import nettletrail.protocol.VersionQuery;
import nettletrail.protocol.VersionReply;

/**
 * Quorum reads of the configuration shard, several times a second: asks its replicas for the newest
 * version that they accepted, and fetches the newest committed version if this process is behind.
 * Works without an owner, and in a process that is no replica. {@link QuorumReads} evaluates the
 * replies.
 */
final class ConfirmationRounds {

  private final ShardReplica replica;
  private final Member self;
  private final PeerDirectory peerDirectory;
  private final ShardSettings settings;
  private final ActionQueue actionQueue;
  private final Incarnation incarnation;
  private final QuorumReads quorumReads = new QuorumReads();
  private final VersionFetches fetches;
  private long nextRoundAt;

  ConfirmationRounds(
      ShardReplica replica,
      Member self,
      PeerDirectory peerDirectory,
      ShardSettings settings,
      ActionQueue actionQueue,
      Incarnation incarnation) {
    this.replica = replica;
    this.self = self;
    this.peerDirectory = peerDirectory;
    this.settings = settings;
    this.actionQueue = actionQueue;
    this.incarnation = incarnation;
    this.nextRoundAt = incarnation.startedAt();
    this.fetches = new VersionFetches(settings);
  }

  /**
   * Starts the next round when it is due. While no committed version is known, the query goes to
   * every known address instead of the group.
   */
  void tick(Iterable<String> knownAddresses, long now) {
    if (now < nextRoundAt) {
      return;
    }
    nextRoundAt = now + settings.confirmationIntervalNanos();
    ConfirmQuery query = new ConfirmQuery(self.getId(), ShardMap.CONFIGURATION_SHARD, now);
    ShardVersion committed = replica.committed();
    if (committed == null) {
      knownAddresses.forEach(address -> actionQueue.send(address, query));
      return;
    }
    ReplicaGroup group = new ReplicaGroup(committed.getMembers());
    quorumReads.retain(group);
    fetches.retain(group);
    for (Member member : group.members()) {
      actionQueue.send(member.getAddress(), query);
    }
  }

  /** Answers another process' query with the state of the replica here. */
  void onQuery(String peer, ConfirmQuery query, long now) {
    ShardVersion accepted = replica.accepted();
    ShardVersion committed = replica.committed();
    ReplicaGroup group = replica.group();
    actionQueue.send(
        peer,
        new ConfirmReply(
            self.getId(),
            query.getShard(),
            query.getSentAt(),
            group.contains(self.getId()),
            accepted == null ? null : accepted.getProposal(),
            accepted == null ? -1L : accepted.getSequence(),
            committed == null ? -1L : committed.getSequence(),
            replica.ownerAddress(now),
            group.members()));
  }

  /** Takes an answer; one to an earlier incarnation's query is ignored. */
  void onReply(String peer, ConfirmReply reply, long now) {
    if (!incarnation.hasSent(reply.getSentAt(), now)) {
      return;
    }
    peerDirectory.onConfirmReply(reply, now);
    quorumReads.onReply(reply);
    ShardVersion accepted = replica.accepted();
    if (accepted != null && quorumReads.provesCommitted(accepted)) {
      replica.learnCommitted(accepted);
    }
    boolean behind = reply.getCommittedSequence() > committedSequence();
    if (behind && fetches.isDue(peer, reply.getSentAt(), now)) {
      fetches.onRequested(peer, now);
      actionQueue.send(peer, new VersionQuery(ShardMap.CONFIGURATION_SHARD));
    }
  }

  /** Sends the newest committed version that is known here. */
  void onVersionQuery(String peer) {
    actionQueue.send(peer, new VersionReply(ShardMap.CONFIGURATION_SHARD, replica.committed()));
  }

  /** Takes a committed version, or none, from a peer that was asked for it. */
  void onVersionReply(VersionReply reply) {
    fetches.onVersionReceived();
    if (reply.getVersion() != null) {
      replica.learnCommitted(reply.getVersion());
    }
  }

  /** Recomputes the confirmed instant; called after each event. */
  void update() {
    quorumReads.update(replica.committed());
  }

  /** The sequence of the newest version that is known to be committed, or -1. */
  long committedSequence() {
    ShardVersion committed = replica.committed();
    return committed == null ? -1 : committed.getSequence();
  }

  /** See {@link QuorumReads#confirmedAt}. */
  long confirmedAt() {
    return quorumReads.confirmedAt();
  }
}
