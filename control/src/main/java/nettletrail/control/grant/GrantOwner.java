package nettletrail.control.grant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import nettletrail.control.ShardMap;
import nettletrail.protocol.GrantReply;
import nettletrail.protocol.GrantRequest;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.TenantGrant;
import nettletrail.protocol.TenantUse;

/**
 * Grants quota tokens to doors for all tenants of the shards that this process owns.
 *
 * <p>Each tenant has a bucket that begins empty whenever the process wins the shard, that is with
 * each fencing token. The caller asks only while the owner's lease runs. With {@link
 * GrantTerms#capacity} this keeps the sum that all doors use in any window within the bound, with
 * doors or owners cut off, by what was granted alone.
 */
public final class GrantOwner {
  /** What a tenant without a limit is granted. */
  public static final long UNLIMITED = Long.MAX_VALUE / 4;

  private final GrantTerms terms;
  private final Map<Integer, Shard> shards = new HashMap<>();
  private Map<String, QuotaLimit> limits = Map.of();

  /** The buckets of one shard under one fencing token. */
  private record Shard(ProposalNumber token, Map<String, TenantBucket> buckets) {}

  /** {@code terms}: the bound to keep. */
  public GrantOwner(GrantTerms terms) {
    this.terms = terms;
  }

  /**
   * The limits in force from here on, by tenant; tenants that aren't named are unknown. A tenant
   * that is named anew begins with an empty bucket, also when it was known before.
   */
  public void limits(Map<String, QuotaLimit> newLimits, long now) {
    limits = Map.copyOf(newLimits);
    shards.forEach(
        (number, shard) -> {
          shard.buckets().keySet().retainAll(limits.keySet());
          shard.buckets().forEach((tenant, bucket) -> bucket.limit(limits.get(tenant), now));
          openBuckets(number, shard, now);
        });
  }

  /**
   * This process owns the shard under this token at {@code now}. Buckets fill from the first time
   * that is said.
   */
  public void owned(int number, ProposalNumber token, long now) {
    Shard known = shards.get(number);
    if (known == null || !known.token().equals(token)) {
      Shard shard = new Shard(token, new HashMap<>());
      shards.put(number, shard);
      openBuckets(number, shard, now);
    }
  }

  /** Answers a door. {@code token}: the one under which the shard is owned at {@code now}. */
  public GrantReply answer(String sender, GrantRequest request, ProposalNumber token, long now) {
    owned(request.getShard(), token, now);
    Shard shard = shards.get(request.getShard());
    TenantBucket.Holder holder =
        new TenantBucket.Holder(request.getDoor(), request.getIncarnation());
    List<TenantGrant> grants = new ArrayList<>();
    long validMs = terms.validMs();
    for (TenantUse use : request.getTenants()) {
      grants.add(grant(shard, holder, request.getRequest(), use, now));
      QuotaLimit limit = limits.getOrDefault(use.getTenant(), QuotaLimit.NONE);
      validMs = Math.min(validMs, terms.validMs(limit));
    }
    return new GrantReply(
        sender, request.getRequest(), request.getShard(), true, token, validMs, grants);
  }

  /** The answer of a process that doesn't own the shard. */
  public static GrantReply notOwner(String sender, GrantRequest request) {
    return new GrantReply(
        sender, request.getRequest(), request.getShard(), false, null, 0L, List.of());
  }

  /** A tenant's quota in a shard that this process owns; empty if the tenant isn't known. */
  public Optional<QuotaStatus> status(int number, String tenant, long now) {
    Shard shard = shards.get(number);
    TenantBucket bucket = shard == null ? null : shard.buckets().get(tenant);
    return bucket == null ? Optional.empty() : Optional.of(bucket.status(now));
  }

  private TenantGrant grant(
      Shard shard, TenantBucket.Holder holder, long request, TenantUse use, long now) {
    String tenant = use.getTenant();
    QuotaLimit limit = limits.get(tenant);
    if (limit == null) {
      return new TenantGrant(tenant, 0L, 0.0, 0, false);
    }
    TenantBucket bucket =
        shard.buckets().computeIfAbsent(tenant, name -> new TenantBucket(terms, limit, now));
    long tokens = bucket.ask(holder, request, use, now);
    long granted = limit.limited() ? Math.max(0, tokens) : UNLIMITED;
    return new TenantGrant(
        tenant, granted, bucket.pressure(now), bucket.doorsServing(now), tokens >= 0);
  }

  private void openBuckets(int number, Shard shard, long now) {
    limits.forEach(
        (tenant, limit) -> {
          if (ShardMap.shardOf(tenant) == number) {
            shard.buckets().computeIfAbsent(tenant, name -> new TenantBucket(terms, limit, now));
          }
        });
  }
}
