package nettletrail.control.grant;

import nettletrail.protocol.TenantUse;

/**
 * The account of one {@link DoorIncarnation} at one tenant's {@link TenantBucket}. Tokens; instants
 * are steady nanoseconds. {@link DoorAccounts} alone changes {@code outstanding}.
 */
final class DoorAccount {
  /** Granted tokens that the door may still use. */
  double outstanding;

  /** When {@link #outstanding} has certainly expired at the door. */
  long expiresAt;

  private long lastRequest;
  private long lastRequestAt;
  private long usedTotal;
  private double wanted;
  private double required;
  private boolean waiting;
  private long waitingSince;

  /** Use before the first request that this owner sees counts as known. */
  DoorAccount(TenantUse firstUse) {
    this.usedTotal = firstUse.getUsedTotal();
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

  /** Advances the door's count of used tokens and returns how many were used since. */
  long advanceUsedTotal(long newUsedTotal) {
    long used = Math.max(0, newUsedTotal - usedTotal);
    usedTotal = Math.max(usedTotal, newUsedTotal);
    return used;
  }

  /**
   * Replaces the door's demand. It waits while its {@code available} tokens don't cover its queued
   * requests.
   */
  void updateDemand(TenantUse use, double available, long now) {
    wanted = Math.max(use.getWantedTokens(), use.getMinTokens());
    required = use.getMinTokens();
    boolean waits = required > available;
    if (waits && !waiting) {
      waitingSince = now;
    }
    waiting = waits;
  }

  /** The door was granted so many tokens; it no longer waits if they cover its queued requests. */
  void granted(long tokens) {
    waiting = waiting && tokens < required;
  }

  long lastRequestAt() {
    return lastRequestAt;
  }

  /** Whether the door wants any tokens. */
  boolean hasDemand() {
    return wanted > 0;
  }

  /** What the door's queued requests need. */
  double required() {
    return required;
  }

  /** What the door wants beyond its queued requests, for those to come. */
  double prefetch() {
    return wanted - required;
  }

  /** Whether the door has queued requests that its tokens don't cover. */
  boolean isWaiting() {
    return waiting;
  }

  /** Since when the door waits; undefined unless {@link #isWaiting}. */
  long waitingSince() {
    return waitingSince;
  }
}
