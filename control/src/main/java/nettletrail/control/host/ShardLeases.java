package nettletrail.control.host;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import nettletrail.control.ShardMap;
import nettletrail.control.ShardOwnership;
import nettletrail.control.shard.CoreShards;
import nettletrail.control.shard.ReplicaGroup;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;

/** The leases of the shards of one process, as its registry asks for them. */
public class ShardLeases implements ShardOwnership {
  private final CoreShards shards;
  private final LongSupplier steadyClock;

  /**
   * A view of the shards.
   *
   * @param steadyClock in nanoseconds; read at each {@link #ownerAddress}
   */
  public ShardLeases(CoreShards shards, LongSupplier steadyClock) {
    this.shards = shards;
    this.steadyClock = steadyClock;
  }

  @Override
  public boolean owns(int shard, long now) {
    return shards.owns(shard, now);
  }

  @Override
  public ProposalNumber token(int shard) {
    return shards.token(shard);
  }

  @Override
  public String ownerAddress(int shard) {
    return shards.ownerAddress(shard, steadyClock.getAsLong());
  }

  @Override
  public List<Member> members() {
    return shards.members();
  }

  @Override
  public int shardCount() {
    return ShardMap.SHARD_COUNT;
  }

  @Override
  public OptionalLong confirmedAt() {
    long confirmedAt = shards.confirmedAt();
    return confirmedAt == ReplicaGroup.NEVER ? OptionalLong.empty() : OptionalLong.of(confirmedAt);
  }

  @Override
  public long configurationSequence() {
    return Math.max(0, shards.committedSequence());
  }
}
