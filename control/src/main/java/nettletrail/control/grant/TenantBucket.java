package nettletrail.control.grant;

import java.util.OptionalLong;
import nettletrail.protocol.TenantUse;

/**
 * One tenant's token bucket at the owner of its shard. Not thread-safe; instants are steady
 * nanoseconds.
 *
 * <p>Invariant: {@code level + outstanding <= capacity}, and only refilling at the rate adds to the
 * sum. Outstanding is what doors may still use. With each request a door reports its unused tokens,
 * and it ignores replies to earlier requests from then on; tokens that it neither used nor reports
 * are credited. Tokens of a door that stops sending requests stay outstanding until they have
 * certainly expired, and are not credited then, since the door may have used them.
 */
final class TenantBucket {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double PER_CENT = 100;

  private final GrantTerms terms;
  private final DoorAccounts accounts = new DoorAccounts();
  private final UsageMeter usage = new UsageMeter();
  private QuotaLimit limit;
  private double level;
  private long refilledAt;

  /** An empty bucket that refills from {@code now} on. */
  TenantBucket(GrantTerms terms, QuotaLimit limit, long now) {
    this.terms = terms;
    this.limit = limit;
    this.refilledAt = now;
  }

  /** Changes the limit from {@code now} on. */
  void updateLimit(QuotaLimit newLimit, long now) {
    refill(now);
    limit = newLimit;
  }

  /**
   * Settles a door's account and grants tokens.
   *
   * @param requestNumber increases with each request of a door's incarnation, from 1
   * @param use what the door used, still has and wants
   * @return the tokens that the door may use from this request on, its unused ones included; empty
   *     for a request that is not newer than one already received
   */
  OptionalLong request(DoorIncarnation door, long requestNumber, TenantUse use, long now) {
    refill(now);
    DoorAccount account = accounts.account(door, use);
    if (account.isStale(requestNumber)) {
      return OptionalLong.empty();
    }
    accounts.requestReceived(account, requestNumber, now);
    double unused = settle(account, use, now);
    updateDemand(account, use, unused);
    double capacity = terms.capacity(limit);
    long granted =
        (long) new TokenAllocation(level, capacity, accounts, now).tokensFor(account, unused);
    level -= Math.max(0, granted - unused);
    accounts.setOutstanding(account, Math.max(granted, unused));
    account.setExpiresAt(now + terms.outstandingMs(limit) * NANOS_PER_MILLI);
    accounts.granted(account, granted);
    return OptionalLong.of(granted);
  }

  /**
   * Use in the last complete second, in per cent of the rate; at most 100 while the bucket still
   * has more than its reserve: one large request can exceed the rate of a second without the tenant
   * using more than its quota.
   */
  double pressure(long now) {
    refill(now);
    double percent = usage.percentOf(limit.ratePerSecond(), now);
    boolean depleted = level < TokenAllocation.reserved(terms.capacity(limit));
    return depleted ? percent : Math.min(percent, PER_CENT);
  }

  /** How many doors serve the tenant. */
  int doorsServing(long now) {
    return accounts.doorsServing(now);
  }

  /** The bucket for operators; changes nothing, so the level is that of the last request. */
  QuotaStatus status(long now) {
    return new QuotaStatus(
        limit, level, accounts.outstanding(), terms.capacity(limit), doorsServing(now));
  }

  /**
   * Subtracts what the door used since its last request and credits what it never received. Returns
   * the tokens that it certainly still has.
   */
  private double settle(DoorAccount account, TenantUse use, long now) {
    long used = account.replaceUsedTotal(use.getUsedTotal());
    usage.add(used, now);
    double remaining = Math.max(0, account.outstanding() - used);
    double unused = Math.min(Math.max(0, use.getUnusedTokens()), remaining);
    level += remaining - unused;
    accounts.setOutstanding(account, unused);
    return unused;
  }

  /** A request above the capacity, which no bucket covers, counts as one of the capacity. */
  private void updateDemand(DoorAccount account, TenantUse use, double unused) {
    double required = Math.min(use.getMinTokens(), Math.floor(terms.capacity(limit)));
    double prefetch = Math.max(0, use.getWantedTokens() - use.getMinTokens());
    accounts.setDemand(account, required, prefetch, unused);
  }

  private void refill(long now) {
    accounts.expire(now);
    double refilled = level + limit.ratePerSecond() * (now - refilledAt) / NANOS_PER_SECOND;
    refilledAt = now;
    level = Math.max(0, Math.min(refilled, terms.capacity(limit) - accounts.outstanding()));
  }
}
