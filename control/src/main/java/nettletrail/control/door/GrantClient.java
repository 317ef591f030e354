package nettletrail.control.door;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import nettletrail.control.ShardMap;
import nettletrail.control.grant.QuotaLimit;
import nettletrail.protocol.GrantReply;
import nettletrail.protocol.GrantRequest;
import nettletrail.protocol.TenantGrant;
import nettletrail.protocol.TenantUse;

/**
 * The quota tokens that were granted to this door, and its requests for more to the owners of the
 * tenants' shards.
 *
 * <p>The count of a tenant's used tokens belongs to this incarnation of the door, as its account at
 * the owner does. So it outlasts a configuration that doesn't limit the tenant: an owner that has
 * kept the account would take a count from 0 on for no use, and grant the used tokens again.
 *
 * <p>Each request reports on all active tenants of one shard. Tokens expire on this door's steady
 * clock, counted from before the request. A reply with an older fencing token than one seen for the
 * shard is dropped.
 *
 * <p>Instants are nanoseconds of the steady clock. One thread.
 */
public final class GrantClient {
  private final String door;
  private final long incarnation;
  private final OwnerLookup ownerLookup;
  private final Map<Integer, ShardGrantRequests> requestsByShard = new HashMap<>();

  /** The tenants that were used under the present limits. */
  private final Map<String, TenantTokens> tenants = new LinkedHashMap<>();

  /** Tenants without a limit now, of which an owner may still have an account. */
  private final Map<String, TenantTokens> formerlyLimited = new LinkedHashMap<>();

  private final Set<String> replenished = new LinkedHashSet<>();
  private Map<String, QuotaLimit> limits = Map.of();
  private long lastRequest;
  private boolean ownerMissing;
  private boolean shortOfTokens;

  /** Finds the owner of a shard among the core processes that are linked. */
  interface OwnerLookup {
    /** The address of the shard's owner, empty while it is unknown or not linked. */
    Optional<String> owner(int shard, long now);

    /** The core process at this address answered that it doesn't own the shard. */
    void denied(int shard, String address, long now);
  }

  /**
   * Without tokens and limits.
   *
   * @param incarnation of the door's process; requests are numbered from half of it on, so that a
   *     reply to a former incarnation never matches a request of this one
   */
  GrantClient(String door, long incarnation, OwnerLookup ownerLookup) {
    this.door = door;
    this.incarnation = incarnation;
    this.ownerLookup = ownerLookup;
    this.lastRequest = incarnation >>> 1;
  }

  /**
   * Replaces the limits by those of the active configuration, by tenant. What was granted to and
   * used by a tenant that has no limit now is kept for a limit that comes back.
   */
  public void limitsChanged(Map<String, QuotaLimit> newLimits) {
    limits = Map.copyOf(newLimits);
    moveIf(tenant -> !isLimited(tenant), tenants, formerlyLimited);
    moveIf(this::isLimited, formerlyLimited, tenants);
  }

  private static void moveIf(
      Predicate<String> moves, Map<String, TenantTokens> from, Map<String, TenantTokens> to) {
    Iterator<Map.Entry<String, TenantTokens>> entries = from.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, TenantTokens> entry = entries.next();
      if (moves.test(entry.getKey())) {
        to.put(entry.getKey(), entry.getValue());
        entries.remove();
      }
    }
  }

  /**
   * Takes tokens for a request that is about to be sent; true for tenants that are unknown or
   * without a limit. After false, {@link DoorControl#poll} should be called, so that the owner is
   * asked at once.
   */
  public boolean tryAcquire(String tenant, long tokens, long now) {
    return !isLimited(tenant) || tokensOf(tenant, now).take(tokens, now);
  }

  /** Returns the tokens of a request that was sent to no backend, or that no backend ran. */
  public void refund(String tenant, long tokens) {
    TenantTokens tenantTokens = find(tenant);
    if (tenantTokens != null) {
      tenantTokens.refund(tokens);
    }
  }

  /**
   * A request that waits for this tenant's quota, after {@link #tryAcquire} was false, has left the
   * queue without it. Tokens are collected for it no longer. Requests that still wait are to be
   * tried again after this.
   */
  public void withdraw(String tenant, long tokens) {
    TenantTokens tenantTokens = find(tenant);
    if (tenantTokens != null) {
      tenantTokens.withdrawn(tokens);
    }
  }

  /** How many tokens all requests together need that wait for this tenant's quota. */
  public void queuedTokensChanged(String tenant, long tokens, long now) {
    if (isLimited(tenant)) {
      tokensOf(tenant, now).queued(tokens);
    }
  }

  /** Use of the tenant's limit over all doors in the last period, in per cent; 0 while unknown. */
  public double pressure(String tenant) {
    TenantTokens tenantTokens = tenants.get(tenant);
    return tenantTokens == null ? 0 : tenantTokens.pressure();
  }

  /** How many doors serve the tenant, at least 1. */
  public int doorsServing(String tenant) {
    TenantTokens tenantTokens = tenants.get(tenant);
    return tenantTokens == null ? 1 : Math.max(1, tenantTokens.doorsServing());
  }

  /** How many tokens can be taken now; {@link Long#MAX_VALUE} for tenants without a limit. */
  public long usableTokens(String tenant, long now) {
    return isLimited(tenant) ? tokensOf(tenant, now).usable(now) : Long.MAX_VALUE;
  }

  /** The tenants that got more usable tokens since the last call, in the order of the grants. */
  public List<String> drainReplenishedTenants() {
    List<String> drained = List.copyOf(replenished);
    replenished.clear();
    return drained;
  }

  /** The requests that are due, one at most for each shard. */
  List<DoorAction> poll(long now) {
    ownerMissing = false;
    shortOfTokens = false;
    formerlyLimited.values().removeIf(tokens -> tokens.hasNoAccount(now));
    List<DoorAction> actions = new ArrayList<>();
    activeByShard(now)
        .forEach((shard, active) -> request(shard, active, now).ifPresent(actions::add));
    return actions;
  }

  private Map<Integer, List<TenantTokens>> activeByShard(long now) {
    Map<Integer, List<TenantTokens>> byShard = new HashMap<>();
    tenants.forEach(
        (tenant, tokens) -> {
          if (tokens.isActive(now)) {
            byShard
                .computeIfAbsent(ShardMap.shardOf(tenant), shard -> new ArrayList<>())
                .add(tokens);
          }
        });
    return byShard;
  }

  private Optional<DoorAction> request(int shard, List<TenantTokens> active, long now) {
    ShardGrantRequests requests =
        requestsByShard.computeIfAbsent(shard, unseen -> new ShardGrantRequests());
    long interval = GrantRequestPacing.intervalNanos(active, now);
    shortOfTokens |= interval <= GrantRequestPacing.SHORTAGE_INTERVAL_NANOS;
    if (!requests.isDue(interval, now)) {
      return Optional.empty();
    }
    Optional<String> owner = ownerLookup.owner(shard, now);
    if (owner.isEmpty()) {
      ownerMissing = true;
      return Optional.empty();
    }
    List<TenantUse> reports = new ArrayList<>();
    active.forEach(tokens -> reports.add(tokens.report(now)));
    lastRequest++;
    requests.sent(lastRequest, owner.get(), reports, now);
    GrantRequest request = new GrantRequest(door, incarnation, lastRequest, shard, reports);
    return Optional.of(new DoorAction.SendToCore(owner.get(), request));
  }

  /** How long after the last poll the next one is due, if a tenant is short of tokens. */
  OptionalLong nextPoll() {
    return shortOfTokens
        ? OptionalLong.of(GrantRequestPacing.SHORTAGE_INTERVAL_NANOS)
        : OptionalLong.empty();
  }

  /** Whether the last poll had a request for an owner that isn't known. */
  boolean ownerMissing() {
    return ownerMissing;
  }

  /** A reply arrived from a core process. */
  void received(GrantReply reply, long now) {
    ShardGrantRequests requests = requestsByShard.get(reply.getShard());
    if (requests == null || !requests.complete(reply)) {
      return;
    }
    if (!reply.getOwner() || requests.isFromFormerOwner(reply)) {
      ownerLookup.denied(reply.getShard(), requests.recipient(), now);
      return;
    }
    boolean isNewOwner = requests.isFromNewOwner(reply);
    requests.accept(reply);
    for (TenantGrant grant : reply.getGrants()) {
      TenantTokens tokens = find(grant.getTenant());
      if (tokens == null || !grant.getKnown() || !requests.reportedOn(grant.getTenant())) {
        continue;
      }
      long usableBefore = tokens.usable(now);
      if (isNewOwner) {
        tokens.ownerChanged();
      }
      tokens.granted(grant, requests.grantsExpireAt());
      if (isLimited(grant.getTenant()) && tokens.usable(now) > usableBefore) {
        replenished.add(grant.getTenant());
      }
    }
  }

  private boolean isLimited(String tenant) {
    QuotaLimit limit = limits.get(tenant);
    return limit != null && limit.limited();
  }

  /** Null if nothing is known of the tenant. */
  private TenantTokens find(String tenant) {
    TenantTokens tokens = tenants.get(tenant);
    return tokens == null ? formerlyLimited.get(tenant) : tokens;
  }

  private TenantTokens tokensOf(String tenant, long now) {
    return tenants.computeIfAbsent(tenant, name -> new TenantTokens(name, now));
  }
}
