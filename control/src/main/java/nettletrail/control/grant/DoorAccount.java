package nettletrail.control.grant;

import nettletrail.protocol.TenantUse;

/**
 * The account of one {@link DoorIncarnation} at one tenant's {@link TenantBucket}. Tokens; instants
 * are steady nanoseconds. {@link DoorAccounts} alone changes it, since it keeps the sums over all
 * accounts.
 */
final class DoorAccount {
  private final DoorIncarnation door;

  private double outstanding;
  private long expiresAt;
  private long lastRequest;
  private long lastRequestAt;
  private long usedTotal;
  private double required;
  private double prefetch;
  private boolean waiting;

  /** Use before the first request that this owner sees counts as known. */
  DoorAccount(DoorIncarnation door, TenantUse firstUse) {
    this.door = door;
    this.usedTotal = firstUse.getUsedTotal();
  }

  DoorIncarnation door() {
    return door;
  }

  /** Whether a request with this number was overtaken by, or repeats, one already received. */
  boolean isStale(long request) {
    return request <= lastRequest;
  }

  /** A request was received that is not stale. */
  void requestReceived(long request, long now) {
    lastRequest = request;
    lastRequestAt = now;
  }

  /**
   * Replaces the door's count of used tokens and returns how many were used since. A count that is
   * lower than before was begun anew: what the door used until then is unknown, so all its tokens
   * count as used.
   */
  long replaceUsedTotal(long newUsedTotal) {
    boolean begunAnew = newUsedTotal < usedTotal;
    long used = begunAnew ? (long) Math.ceil(outstanding) : newUsedTotal - usedTotal;
    usedTotal = newUsedTotal;
    return used;
  }

  /** Granted tokens that the door may still use. */
  double outstanding() {
    return outstanding;
  }

  void setOutstanding(double tokens) {
    outstanding = tokens;
  }

  /** When {@link #outstanding} has certainly expired at the door. */
  long expiresAt() {
    return expiresAt;
  }

  void setExpiresAt(long instant) {
    expiresAt = instant;
  }

  long lastRequestAt() {
    return lastRequestAt;
  }

  /** What the door's queued requests need. */
  double required() {
    return required;
  }

  /** What the door wants beyond its queued requests, for those to come. */
  double prefetch() {
    return prefetch;
  }

  void setDemand(double requiredTokens, double prefetchTokens) {
    required = requiredTokens;
    prefetch = prefetchTokens;
  }

  /** Whether the door has queued requests that its tokens don't cover. */
  boolean isWaiting() {
    return waiting;
  }

  void setWaiting(boolean waits) {
    waiting = waits;
  }
}
