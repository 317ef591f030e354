package nettletrail.control.door;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import nettletrail.control.ShardMap;
import nettletrail.control.grant.GrantTerms;
import nettletrail.control.grant.QuotaLimit;
import nettletrail.protocol.GrantReply;
import nettletrail.protocol.GrantRequest;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.TenantGrant;
import nettletrail.protocol.TenantUse;

/**
 * The quota tokens that this door holds, and its requests for more to the owners of the tenants'
 * shards.
 *
 * <p>One request for each shard is under way at a time; its account tells what the door holds, and
 * once it is given up its reply is dropped, which the owner relies on. Tokens run out on this
 * door's steady clock from before it asked. A reply with an older fencing token than one seen for
 * the shard is dropped. One thread.
 */
public final class GrantClient {
  private static final long MILLIS = 1_000_000L;
  private static final long ASK_EVERY = 250 * MILLIS;
  static final long ASK_AGAIN_WHEN_SHORT = 30 * MILLIS;
  private static final long ASK_AGAIN_WHEN_LOW = 100 * MILLIS;
  private static final int ASKS_A_VALIDITY = 3;
  private static final long GIVE_UP = 300 * MILLIS;

  private final String door;
  private final long incarnation;
  private final OwnerLookup ownerLookup;
  private final Map<Integer, ShardState> shards = new HashMap<>();
  private final Map<String, TenantTokens> tenants = new LinkedHashMap<>();
  private final Set<String> grown = new LinkedHashSet<>();
  private Map<String, QuotaLimit> limits = Map.of();
  private long lastRequest;
  private boolean ownerMissing;
  private boolean asksSoon;

  /** Finds the owner of a shard among the core processes that can be reached. */
  interface OwnerLookup {
    Optional<String> owner(int shard, long now);

    void denied(int shard, String address, long now);
  }

  private static final class ShardState {
    ProposalNumber token;
    long askedAt;
    boolean askedBefore;
    long requestUnderWay;
    String askedAddress = "";
    long validMs = GrantTerms.USUAL_VALID_MS;
    Set<String> tenantsAsked = Set.of();
  }

  /**
   * Holds nothing.
   *
   * @param incarnation of the door's process; requests are numbered from it on, so that a reply to
   *     a former life is never taken for one to this life
   */
  GrantClient(String door, long incarnation, OwnerLookup ownerLookup) {
    this.door = door;
    this.incarnation = incarnation;
    this.ownerLookup = ownerLookup;
    this.lastRequest = incarnation >>> 1;
  }

  /**
   * The limits of the configuration in force, by tenant. What was held of tenants without a limit
   * is dropped.
   */
  public void limits(Map<String, QuotaLimit> newLimits) {
    limits = Map.copyOf(newLimits);
    tenants.keySet().removeIf(tenant -> !limited(tenant));
  }

  /**
   * Takes tokens for a request that is about to be sent; true for tenants that are unknown or
   * without a limit. After false, {@link DoorControl#poll} should be called, so that the owner is
   * asked at once.
   */
  public boolean take(String tenant, long tokens, long now) {
    return !limited(tenant) || tokensOf(tenant, now).take(tokens, now);
  }

  /** Returns the tokens of a request that was sent to no backend, or that no backend ran. */
  public void refund(String tenant, long tokens) {
    TenantTokens held = tenants.get(tenant);
    if (held != null) {
      held.refund(tokens);
    }
  }

  /** How many tokens all requests together want that wait for this tenant's quota. */
  public void queued(String tenant, long tokens, long now) {
    if (limited(tenant)) {
      tokensOf(tenant, now).queued(tokens);
    }
  }

  /** Use of the tenant's limit over all doors in the last period, in per cent; 0 while unknown. */
  public double pressure(String tenant) {
    TenantTokens held = tenants.get(tenant);
    return held == null ? 0 : held.pressure();
  }

  /** How many doors serve the tenant, at least 1. */
  public int doorsServing(String tenant) {
    TenantTokens held = tenants.get(tenant);
    return held == null ? 1 : Math.max(1, held.doorsServing());
  }

  /** How many tokens could be taken now. */
  public long usable(String tenant, long now) {
    return limited(tenant) ? tokensOf(tenant, now).usable(now) : Long.MAX_VALUE;
  }

  /** The tenants of which there is more to take than when this was asked last. */
  public List<String> takeGrownTenants() {
    List<String> tenantsGrown = List.copyOf(grown);
    grown.clear();
    return tenantsGrown;
  }

  /** Requests that are due. */
  List<DoorAction> poll(long now) {
    ownerMissing = false;
    asksSoon = false;
    List<DoorAction> actions = new ArrayList<>();
    Map<Integer, List<TenantTokens>> active = new HashMap<>();
    tenants.forEach(
        (tenant, held) -> {
          if (held.active(now)) {
            active.computeIfAbsent(ShardMap.shardOf(tenant), shard -> new ArrayList<>()).add(held);
          }
        });
    active.forEach((shard, held) -> ask(shard, held, now).ifPresent(actions::add));
    return actions;
  }

  /** Whether the last poll found a tenant that is short, for which an owner is asked again soon. */
  boolean asksSoon() {
    return asksSoon;
  }

  /** Whether the last poll had a request for an owner that isn't known. */
  boolean ownerMissing() {
    return ownerMissing;
  }

  /** A reply came from a core process. */
  void received(GrantReply reply, long now) {
    ShardState shard = shards.get(reply.getShard());
    if (shard == null || shard.requestUnderWay != reply.getRequest()) {
      return;
    }
    shard.requestUnderWay = 0;
    if (!reply.getOwner()) {
      ownerLookup.denied(reply.getShard(), shard.askedAddress, now);
      return;
    }
    int order = shard.token == null ? 1 : compare(reply.getToken(), shard.token);
    if (order < 0) {
      ownerLookup.denied(reply.getShard(), shard.askedAddress, now);
      return;
    }
    shard.token = reply.getToken();
    shard.validMs = reply.getValidMs();
    long expiresAt = shard.askedAt + reply.getValidMs() * MILLIS;
    for (TenantGrant grant : reply.getGrants()) {
      granted(grant, shard, expiresAt, order > 0, now);
    }
  }

  private void granted(
      TenantGrant grant, ShardState shard, long expiresAt, boolean newOwner, long now) {
    TenantTokens held = tenants.get(grant.getTenant());
    boolean asked = held != null && shard.tenantsAsked.contains(grant.getTenant());
    if (asked && grant.getKnown() && held.granted(grant, expiresAt, newOwner, now)) {
      grown.add(grant.getTenant());
    }
  }

  private Optional<DoorAction> ask(int number, List<TenantTokens> active, long now) {
    ShardState shard = shards.computeIfAbsent(number, unseen -> new ShardState());
    long pause = shortestPause(active, now);
    asksSoon |= pause <= ASK_AGAIN_WHEN_SHORT;
    if (!due(shard, pause, now)) {
      return Optional.empty();
    }
    Optional<String> owner = ownerLookup.owner(number, now);
    if (owner.isEmpty()) {
      ownerMissing = true;
      return Optional.empty();
    }
    List<TenantUse> uses = new ArrayList<>();
    Set<String> tenantsAsked = new HashSet<>();
    for (TenantTokens held : active) {
      TenantUse use = held.report(now);
      uses.add(use);
      tenantsAsked.add(use.getTenant());
    }
    lastRequest++;
    shard.requestUnderWay = lastRequest;
    shard.askedAt = now;
    shard.askedBefore = true;
    shard.askedAddress = owner.get();
    shard.tenantsAsked = tenantsAsked;
    return Optional.of(
        new DoorAction.SendToCore(
            owner.get(), new GrantRequest(door, incarnation, lastRequest, number, uses)));
  }

  private static boolean due(ShardState shard, long shortestPause, long now) {
    long sinceAsked = now - shard.askedAt;
    if (!shard.askedBefore) {
      return true;
    }
    if (shard.requestUnderWay != 0) {
      return sinceAsked >= GIVE_UP;
    }
    long pause = Math.min(shortestPause, shard.validMs * MILLIS / ASKS_A_VALIDITY);
    return sinceAsked >= pause;
  }

  /** How long after the last request the tenant that is most in need asks for the next one. */
  private static long shortestPause(List<TenantTokens> active, long now) {
    long shortest = ASK_EVERY;
    for (TenantTokens held : active) {
      shortest = Math.min(shortest, pause(held, now));
    }
    return shortest;
  }

  /** How long after the last request this tenant asks for the next one, in nanoseconds. */
  private static long pause(TenantTokens held, long now) {
    boolean isShort = held.shortage(now) > 0;
    if (isShort && held.grantedInFull()) {
      return 0;
    }
    if (isShort || held.returnsTokens()) {
      return ASK_AGAIN_WHEN_SHORT;
    }
    return held.low(now) ? ASK_AGAIN_WHEN_LOW : ASK_EVERY;
  }

  private boolean limited(String tenant) {
    QuotaLimit limit = limits.get(tenant);
    return limit != null && limit.limited();
  }

  private TenantTokens tokensOf(String tenant, long now) {
    return tenants.computeIfAbsent(tenant, name -> new TenantTokens(name, now));
  }

  private static int compare(ProposalNumber one, ProposalNumber other) {
    int rounds = Long.compare(one.getTerm(), other.getTerm());
    return rounds != 0 ? rounds : one.getNode().compareTo(other.getNode());
  }
}
