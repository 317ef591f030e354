package nettletrail.control.grant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import nettletrail.control.ShardMap;
import nettletrail.protocol.GrantReply;
import nettletrail.protocol.GrantRequest;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.TenantGrant;
import nettletrail.protocol.TenantUse;

/**
 * Grants quota tokens to doors for all tenants of the shards that this process owns.
 *
 * <p>Each tenant has a token bucket that is opened empty whenever the process wins the shard, that
 * is, once for each fencing token. The caller passes requests on only while it holds the owner's
 * lease. With {@link GrantTerms#capacity} the sum that all doors use in any window stays within the
 * bound, also across network partitions and changes of owner, without any message between owners.
 */
public final class GrantOwner {
  /** Tokens that a tenant without a limit is granted. */
  public static final long UNLIMITED = Long.MAX_VALUE / 4;

  private final GrantTerms terms;
  private final Map<Integer, OwnedShard> shards = new HashMap<>();
  private Map<String, QuotaLimit> limits = Map.of();

  /** The buckets of one shard under one fencing token, by tenant. */
  private record OwnedShard(ProposalNumber token, Map<String, TenantBucket> buckets) {}

  /** Owns no shard and knows no tenant yet. */
  public GrantOwner(GrantTerms terms) {
    this.terms = terms;
  }

  /**
   * Replaces the limits of all tenants; a tenant that isn't named is unknown from here on. A tenant
   * that is new, or known again, starts with an empty bucket.
   */
  public void updateLimits(Map<String, QuotaLimit> newLimits, long now) {
    limits = Map.copyOf(newLimits);
    shards.forEach(
        (number, shard) -> {
          shard.buckets().keySet().retainAll(limits.keySet());
          shard.buckets().forEach((tenant, bucket) -> bucket.updateLimit(limits.get(tenant), now));
          openBuckets(number, shard, now);
        });
  }

  /**
   * This process owns the shard under this token at {@code now}. Buckets are opened, and refill
   * from then on, at the first call with the token.
   */
  public void shardOwned(int number, ProposalNumber token, long now) {
    OwnedShard known = shards.get(number);
    if (known == null || !known.token().equals(token)) {
      OwnedShard shard = new OwnedShard(token, new HashMap<>());
      shards.put(number, shard);
      openBuckets(number, shard, now);
    }
  }

  /**
   * Answers a door's request for the tenants of one shard.
   *
   * @param sender this process's address
   * @param token the fencing token under which the shard is owned at {@code now}
   */
  public GrantReply grant(String sender, GrantRequest request, ProposalNumber token, long now) {
    shardOwned(request.getShard(), token, now);
    OwnedShard shard = shards.get(request.getShard());
    DoorIncarnation door = new DoorIncarnation(request.getDoor(), request.getIncarnation());
    List<TenantGrant> grants = new ArrayList<>();
    long validMs = terms.validMs();
    for (TenantUse use : request.getTenants()) {
      grants.add(grantTenant(shard, door, request.getRequest(), use, now));
      QuotaLimit limit = limits.getOrDefault(use.getTenant(), QuotaLimit.NONE);
      validMs = Math.min(validMs, terms.validMs(limit));
    }
    return new GrantReply(
        sender, request.getRequest(), request.getShard(), true, token, validMs, grants);
  }

  /** The reply of a process that doesn't own the shard. */
  public static GrantReply notOwner(String sender, GrantRequest request) {
    return new GrantReply(
        sender, request.getRequest(), request.getShard(), false, null, 0L, List.of());
  }

  /** A tenant's bucket in a shard that this process owns; empty if the tenant is unknown. */
  public Optional<QuotaStatus> status(int number, String tenant, long now) {
    OwnedShard shard = shards.get(number);
    TenantBucket bucket = shard == null ? null : shard.buckets().get(tenant);
    return bucket == null ? Optional.empty() : Optional.of(bucket.status(now));
  }

  private TenantGrant grantTenant(
      OwnedShard shard, DoorIncarnation door, long requestNumber, TenantUse use, long now) {
    String tenant = use.getTenant();
    QuotaLimit limit = limits.get(tenant);
    if (limit == null) {
      return new TenantGrant(tenant, 0L, 0.0, 0, false);
    }
    TenantBucket bucket = openBucket(shard, tenant, limit, now);
    OptionalLong tokens = bucket.request(door, requestNumber, use, now);
    long granted = limit.limited() ? tokens.orElse(0) : UNLIMITED;
    return new TenantGrant(
        tenant, granted, bucket.pressure(now), bucket.doorsServing(now), tokens.isPresent());
  }

  private void openBuckets(int number, OwnedShard shard, long now) {
    limits.forEach(
        (tenant, limit) -> {
          if (ShardMap.shardOf(tenant) == number) {
            openBucket(shard, tenant, limit, now);
          }
        });
  }

  private TenantBucket openBucket(OwnedShard shard, String tenant, QuotaLimit limit, long now) {
    return shard.buckets().computeIfAbsent(tenant, unknown -> new TenantBucket(terms, limit, now));
  }
}
