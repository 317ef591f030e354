package nettletrail.control.door;

import nettletrail.protocol.TenantGrant;
import nettletrail.protocol.TenantUse;

/** What a door holds of one tenant's quota, and its demand. Times are steady nanoseconds. */
final class TenantTokens {
  private static final long MILLIS = 1_000_000L;
  private static final double SECOND = 1e9;

  /** Demand is averaged over about this time, nanoseconds. */
  private static final double DEMAND_SPAN = 3e9;

  /** For how many seconds of demand tokens are held ahead. */
  private static final double PREFETCH_SECONDS = 0.8;

  /**
   * What is asked for beyond a shortage grows from request to request up to this multiple of it.
   */
  private static final int MAX_SURPLUS = 64;

  private static final int SURPLUS_GROWTH = 3;

  /** It doesn't grow beyond a second of demand and so many requests of the usual size. */
  private static final int MAX_SURPLUS_REQUESTS = 8;

  /** A shortage that isn't met or repeated is forgotten after this. */
  private static final long SHORTAGE_LASTS = 500 * MILLIS;

  /** Below this part of what is wanted the owner is asked before the usual time. */
  private static final double LOW_PART = 0.4;

  private final String tenant;
  private Lot lot = Lot.EMPTY;
  private Lot formerOwnersLot = Lot.EMPTY;
  private long usedTotal;
  private long reportedTotal;
  private double demand;
  private double requests;
  private long demandAt;
  private long shortTokens;
  private long shortAt;
  private int surplusFactor;
  private TenantUse lastReport = new TenantUse("", 0L, 0L, 0L, 0L);
  private boolean returnsTokens;
  private boolean grantedInFull;
  private long queuedTokens;
  private double pressure;
  private int doorsServing;

  /** Tokens that run out together. */
  private static final class Lot {
    static final Lot EMPTY = new Lot(0, 0, 0);

    final long granted;
    final long expiresAt;
    long tokens;

    Lot(long granted, long tokens, long expiresAt) {
      this.granted = granted;
      this.tokens = tokens;
      this.expiresAt = expiresAt;
    }

    long usable(long now) {
      return now - expiresAt < 0 ? tokens : 0;
    }

    void spend(long spent) {
      if (tokens > 0) {
        tokens = Math.max(0, tokens - spent);
      }
    }

    void refund(long returned) {
      tokens = Math.min(granted, tokens + returned);
    }
  }

  TenantTokens(String tenant, long now) {
    this.tenant = tenant;
    this.demandAt = now;
  }

  boolean take(long tokens, long now) {
    if (usable(now) < tokens) {
      shortTokens = Math.max(shortTokens, tokens);
      shortAt = now;
      return false;
    }
    spend(tokens);
    noteDemand(tokens, now);
    if (tokens >= shortTokens) {
      shortTokens = 0;
    }
    return true;
  }

  /**
   * Returns tokens of a request that never ran. Only what wasn't reported as used yet can be used
   * again: the owner has refilled for the rest already. A former owner's tokens don't come back as
   * the present one's, with which they would last longer than was granted.
   */
  void refund(long tokens) {
    long returned = Math.min(tokens, usedTotal - reportedTotal);
    usedTotal -= returned;
    lot.refund(returned);
  }

  void queued(long tokens) {
    queuedTokens = tokens;
  }

  /** The account for a request to the owner; what it says as used can't be given back any more. */
  TenantUse report(long now) {
    reportedTotal = usedTotal;
    if (shortage(now) > 0) {
      surplusFactor = Math.min(MAX_SURPLUS, SURPLUS_GROWTH * surplusFactor + 1);
    } else {
      surplusFactor /= SURPLUS_GROWTH;
    }
    returnsTokens = false;
    grantedInFull = false;
    lastReport = new TenantUse(tenant, usedTotal, wanted(now), usable(now), shortage(now));
    return lastReport;
  }

  /**
   * Takes the grant that answers the last report. {@code newOwner}: the fencing token is a newer
   * one. Returns whether there is more to use than before.
   */
  boolean granted(TenantGrant grant, long expiresAt, boolean newOwner, long now) {
    long before = usable(now);
    if (newOwner) {
      formerOwnersLot = lot;
    }
    long usedSince = Math.max(0, usedTotal - lastReport.getUsedTotal());
    long keepable = Math.min(lastReport.getWantedTokens(), lastReport.getUnusedTokens());
    returnsTokens = grant.getTokens() < keepable;
    grantedInFull = grant.getTokens() >= lastReport.getWantedTokens();
    lot = new Lot(grant.getTokens(), Math.max(0, grant.getTokens() - usedSince), expiresAt);
    pressure = grant.getPressure();
    doorsServing = grant.getDoors();
    return usable(now) > before;
  }

  /**
   * What can be used now. A former owner's tokens last until they expire, but don't add to the new
   * one's.
   */
  long usable(long now) {
    return Math.max(lot.usable(now), formerOwnersLot.usable(now));
  }

  /** What the door wants to hold in all. */
  long wanted(long now) {
    double ahead = demandPerSecond(now) * PREFETCH_SECONDS;
    double spare = ahead >= 1 ? ahead + Math.min(ahead, demand / requests) : 0;
    long waiting = Math.max(shortage(now) + surplus(now), queuedTokens);
    return (long) Math.ceil(spare) + waiting;
  }

  /**
   * For requests that may wait behind the first, while the shortage lasts from request to request.
   */
  private long surplus(long now) {
    if (shortage(now) == 0 || requests == 0) {
      return 0;
    }
    double usual = MAX_SURPLUS_REQUESTS * demand / requests + demandPerSecond(now);
    return (long) Math.min((double) shortage(now) * surplusFactor, usual);
  }

  /** The size of the request that waits, or 0. */
  long shortage(long now) {
    return now - shortAt < SHORTAGE_LASTS ? shortTokens : 0;
  }

  boolean active(long now) {
    return usable(now) > 0 || wanted(now) > 0;
  }

  boolean low(long now) {
    return usable(now) < LOW_PART * wanted(now);
  }

  /** Whether the owner gave all that was wanted last, so that there may be more. */
  boolean grantedInFull() {
    return grantedInFull;
  }

  /**
   * Whether the owner took tokens back for others, who get them once this door says that it has let
   * go of them.
   */
  boolean returnsTokens() {
    return returnsTokens;
  }

  double pressure() {
    return pressure;
  }

  int doorsServing() {
    return doorsServing;
  }

  private void spend(long tokens) {
    usedTotal += tokens;
    lot.spend(tokens);
    formerOwnersLot.spend(tokens);
  }

  private void noteDemand(long tokens, long now) {
    decay(now);
    demand += tokens;
    requests++;
  }

  private double demandPerSecond(long now) {
    decay(now);
    return demand * SECOND / DEMAND_SPAN;
  }

  private void decay(long now) {
    double kept = Math.exp(-(now - demandAt) / DEMAND_SPAN);
    demand *= kept;
    requests *= kept;
    demandAt = now;
  }
}
