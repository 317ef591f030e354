package nettletrail.control.shard;

import java.util.List;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;

/**
 * The state of a shard as one core process knows it, for operators. Immutable.
 *
 * @param shard its number
 * @param ownerAddress the owner's address; empty if none is known
 * @param owned true if this process holds the owner's lease
 * @param token the fencing token of this process, null unless it is the owner
 * @param leaseLeftMs how long this process's lease as owner still runs; 0 unless it owns the shard
 * @param ownerLastSeenAgoMs how long ago an owner's heartbeat was granted here; 0 for the owner
 *     itself
 * @param replicas the group that the newest version here names
 * @param acceptedSequence sequence of the newest durable version here, or -1
 * @param committedSequence sequence of the newest version known here to be committed, or -1
 * @param lossesTolerated how many members the group tolerates to lose now, negative without a
 *     majority; -1 unless this process is the owner
 * @param lastGroupChange the latest change of the group that this process has committed, or null
 */
public record ShardStatus(
    int shard,
    String ownerAddress,
    boolean owned,
    ProposalNumber token,
    long leaseLeftMs,
    long ownerLastSeenAgoMs,
    List<Member> replicas,
    long acceptedSequence,
    long committedSequence,
    int lossesTolerated,
    GroupChange lastGroupChange) {
  private static final long NANOS_PER_MILLISECOND = 1_000_000L;

  /** The status of one replica. */
  static ShardStatus of(int shard, ShardReplica replica, long now) {
    boolean owned = replica.owns(now);
    long ownerLastSeenAgo = owned ? 0 : Math.max(0, now - replica.ownerLastSeenAt());
    return new ShardStatus(
        shard,
        replica.ownerAddress(now),
        owned,
        owned ? replica.token() : null,
        replica.leaseLeft(now) / NANOS_PER_MILLISECOND,
        ownerLastSeenAgo / NANOS_PER_MILLISECOND,
        replica.group().members(),
        sequenceOf(replica.accepted()),
        sequenceOf(replica.committed()),
        replica.furtherLossesTolerated(now),
        replica.lastGroupChange());
  }

  private static long sequenceOf(ShardVersion version) {
    return version == null ? -1 : version.getSequence();
  }
}
