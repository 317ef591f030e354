package nettletrail.control.shard;

import java.util.List;
import nettletrail.protocol.Ballot;
import nettletrail.protocol.Member;
import nettletrail.protocol.ShardVersion;

/**
 * What one core process knows of a shard, for operators; decides nothing.
 *
 * @param shard its number
 * @param ownerAddress where the owner is dialled; empty if none is known
 * @param owned whether this process holds the owner's lease
 * @param token the fencing token of this process, null unless it is the owner
 * @param leaseLeftMs how long this process's lease as owner still runs; 0 unless it owns the shard
 * @param ownerHeardAgoMs how long ago an owner's heartbeat was granted here; 0 for the owner itself
 * @param replicas the group that the newest version here names
 * @param acceptedSequence sequence of the newest durable version here, or -1
 * @param committedSequence sequence of the newest version known here to be committed, or -1
 */
public record ShardStatus(
    int shard,
    String ownerAddress,
    boolean owned,
    Ballot token,
    long leaseLeftMs,
    long ownerHeardAgoMs,
    List<Member> replicas,
    long acceptedSequence,
    long committedSequence) {
  private static final long NANOS_A_MILLISECOND = 1_000_000L;

  /** The status of one replica. */
  static ShardStatus of(int shard, ShardReplica replica, long now) {
    boolean owned = replica.owns(now);
    long ownerHeardAgo = owned ? 0 : Math.max(0, now - replica.ownerHeardAt());
    return new ShardStatus(
        shard,
        replica.ownerAddress(now),
        owned,
        owned ? replica.token() : null,
        replica.leaseLeft(now) / NANOS_A_MILLISECOND,
        ownerHeardAgo / NANOS_A_MILLISECOND,
        replica.group().members(),
        sequenceOf(replica.accepted()),
        sequenceOf(replica.committed()));
  }

  private static long sequenceOf(ShardVersion version) {
    return version == null ? -1 : version.getSequence();
  }
}
