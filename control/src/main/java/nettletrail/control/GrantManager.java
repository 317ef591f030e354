package nettletrail.control;

import java.util.Map;
import java.util.Optional;
import nettletrail.control.grant.GrantOwner;
import nettletrail.control.grant.QuotaLimit;
import nettletrail.control.grant.QuotaStatus;
import nettletrail.protocol.GrantReply;
import nettletrail.protocol.GrantRequest;

/**
 * Passes grant requests on to {@link GrantOwner} while this process holds the lease of the tenants'
 * shard, and rejects them otherwise. Not thread-safe; instants are steady nanoseconds.
 */
final class GrantManager {
  private final String address;
  private final ShardOwnership ownership;
  private final GrantOwner grants;

  GrantManager(CoreRegistrySettings settings, ShardOwnership ownership) {
    this.address = settings.address();
    this.ownership = ownership;
    this.grants = new GrantOwner(settings.grants());
  }

  /** Replaces the limits of all tenants. */
  void updateLimits(Map<String, QuotaLimit> limits, long now) {
    grants.updateLimits(limits, now);
  }

  /** Opens the buckets of shards that this process has won since the last call. */
  void updateOwnedShards(long now) {
    for (int shard = 0; shard < ownership.shardCount(); shard++) {
      if (ownership.owns(shard, now)) {
        grants.shardOwned(shard, ownership.token(shard), now);
      }
    }
  }

  /** Answers a door's request. */
  GrantReply reply(GrantRequest request, long now) {
    int shard = request.getShard();
    boolean exists = shard >= 0 && shard < ownership.shardCount();
    if (!exists || !ownership.owns(shard, now)) {
      return GrantOwner.notOwner(address, request);
    }
    return grants.grant(address, request, ownership.token(shard), now);
  }

  /** A tenant's quota; empty if this process doesn't own its shard or doesn't know the tenant. */
  Optional<QuotaStatus> status(String tenant, long now) {
    int shard = ShardMap.shardOf(tenant);
    return ownership.owns(shard, now) ? grants.status(shard, tenant, now) : Optional.empty();
  }
}
