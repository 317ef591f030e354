package nettletrail.control.door;

import java.util.concurrent.TimeUnit;
import nettletrail.protocol.TenantGrant;
import nettletrail.protocol.TenantUse;

/**
 * The quota tokens of one tenant at this door: what was granted, used and reported, and what to ask
 * for. Instants are nanoseconds of the steady clock.
 */
final class TenantTokens {
  /** For how many seconds of demand tokens are kept ahead. */
  private static final double PREFETCH_SECONDS = 0.8;

  /** The surplus is limited to a second of demand and this many requests of average size. */
  private static final int MAX_SURPLUS_REQUESTS = 8;

  /** Below this part of what is wanted the owner is asked before the usual time. */
  private static final double LOW_PART = 0.4;

  /**
   * After this time without a request no owner has an account of this door: longer than an idle
   * account or an owner's lease lasts, and than requests that use tokens take.
   */
  private static final long ACCOUNT_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final String tenant;
  private final DemandAverage demand;
  private final TokenShortage shortage = new TokenShortage();
  private ExpiringTokens tokens = ExpiringTokens.none();
  private ExpiringTokens formerOwnersTokens = ExpiringTokens.none();
  private long usedTotal;
  private long reportedTotal;
  private long queuedTokens;
  private TenantUse lastReport = new TenantUse("", 0L, 0L, 0L, 0L);
  private long lastUseOrReportAt;
  private boolean reclaimed;
  private boolean grantedInFull;
  private double pressure;
  private int doorsServing;

  /** No tokens and no demand. */
  TenantTokens(String tenant, long now) {
    this.tenant = tenant;
    this.demand = new DemandAverage(now);
    this.lastUseOrReportAt = now;
  }

  /** Uses tokens for a request if there are enough; false notes a shortage. */
  boolean take(long requested, long now) {
    if (usable(now) < requested) {
      shortage.missed(requested, now);
      return false;
    }
    usedTotal += requested;
    lastUseOrReportAt = now;
    tokens.spend(requested);
    formerOwnersTokens.spend(requested);
    demand.record(requested, now);
    shortage.met(requested);
    return true;
  }

  /**
   * Returns the tokens of a request that never ran. Only what wasn't reported as used yet becomes
   * usable again: the owner has refilled for the rest already. A former owner's tokens aren't
   * returned, since as the present owner's they would outlast their grant.
   */
  void refund(long refunded) {
    long unreported = Math.min(refunded, usedTotal - reportedTotal);
    usedTotal -= unreported;
    tokens.refund(unreported);
  }

  /** A request of this size no longer waits for tokens. */
  void withdrawn(long requested) {
    shortage.withdrawn(requested);
  }

  /** The requests that wait for this tenant's quota need so many tokens together. */
  void queued(long waitingTokens) {
    queuedTokens = waitingTokens;
  }

  /** The report for a request to the owner; what it gives as used can't be refunded any more. */
  TenantUse report(long now) {
    reportedTotal = usedTotal;
    lastUseOrReportAt = now;
    shortage.reporting(now);
    reclaimed = false;
    grantedInFull = false;
    lastReport = new TenantUse(tenant, usedTotal, wanted(now), usable(now), shortage(now));
    return lastReport;
  }

  /** The next grant is by another owner; the tokens of the former one stay usable. */
  void ownerChanged() {
    formerOwnersTokens = tokens;
  }

  /** Takes in the grant that answers the last report. */
  void granted(TenantGrant grant, long expiresAt) {
    long granted = grant.getTokens();
    long usedSinceReport = Math.max(0, usedTotal - lastReport.getUsedTotal());
    long keepable = Math.min(lastReport.getWantedTokens(), lastReport.getUnusedTokens());
    long required = lastReport.getMinTokens();
    reclaimed = granted < keepable;
    long sufficient = required > 0 ? required : lastReport.getWantedTokens();
    grantedInFull = granted >= sufficient;
    tokens = new ExpiringTokens(granted, Math.max(0, granted - usedSinceReport), expiresAt);
    pressure = grant.getPressure();
    doorsServing = grant.getDoors();
  }

  /**
   * How many tokens can be used now. A former owner's tokens last until they expire, but don't add
   * to those of the present one.
   */
  long usable(long now) {
    return Math.max(tokens.usable(now), formerOwnersTokens.usable(now));
  }

  /** How many tokens the door wants in all, the unused ones included. */
  long wanted(long now) {
    double ahead = demand.tokensPerSecond(now) * PREFETCH_SECONDS;
    double prefetch = ahead >= 1 ? ahead + Math.min(ahead, demand.tokensOfRequests(1)) : 0;
    long waiting = Math.max(shortage(now) + surplus(now), queuedTokens);
    return (long) Math.ceil(prefetch) + waiting;
  }

  /** For requests that may wait behind the first, while the shortage lasts. */
  private long surplus(long now) {
    if (shortage(now) == 0 || demand.isZero()) {
      return 0;
    }
    double limit = demand.tokensOfRequests(MAX_SURPLUS_REQUESTS) + demand.tokensPerSecond(now);
    return (long) Math.min((double) shortage(now) * shortage.surplusFactor(), limit);
  }

  /** The size of the largest request that waits for tokens, 0 for none. */
  long shortage(long now) {
    return shortage.tokens(now);
  }

  /** Whether there is anything to report to the owner. */
  boolean isActive(long now) {
    return usable(now) > 0 || wanted(now) > 0;
  }

  /** Whether it was idle for so long that no owner has an account of it any more. */
  boolean hasNoAccount(long now) {
    return now - lastUseOrReportAt > ACCOUNT_LIFETIME_NANOS;
  }

  /** Whether the usable tokens are few, compared with what is wanted. */
  boolean isLow(long now) {
    return usable(now) < LOW_PART * wanted(now);
  }

  /** Whether the owner granted all that was wanted last, and so may have more. */
  boolean isGrantedInFull() {
    return grantedInFull;
  }

  /**
   * Whether the owner reclaimed tokens for other doors, which get them once this door has reported
   * that it doesn't have them any more.
   */
  boolean isReclaimed() {
    return reclaimed;
  }

  /** Use of the tenant's limit over all doors in the last period, in per cent. */
  double pressure() {
    return pressure;
  }

  /** How many doors serve the tenant, 0 while unknown. */
  int doorsServing() {
    return doorsServing;
  }
}
