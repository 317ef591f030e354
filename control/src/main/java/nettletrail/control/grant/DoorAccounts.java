package nettletrail.control.grant;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import nettletrail.protocol.TenantUse;

/**
 * The accounts of all doors at one tenant's bucket, with sums over them. Accounts are kept in the
 * order of their last requests, so that the oldest lapse first, and each request costs the same
 * however many doors there are. Token counts are integers below 2^53, so sums of them are exact.
 *
 * <p>An account is active while its tokens may be used, then serving, then idle, then dropped.
 */
final class DoorAccounts {
  private static final long MILLIS = 1_000_000L;

  /** A door that sent a request within this time serves the tenant. */
  private static final long SERVING_NANOS = 3_000 * MILLIS;

  private static final long IDLE_TIMEOUT_NANOS = 2 * SERVING_NANOS;

  /** A waiting door without a request for this long no longer has precedence. */
  private static final long PRECEDENCE_TIMEOUT_NANOS = 300 * MILLIS;

  private final Map<DoorIncarnation, DoorAccount> active = new LinkedHashMap<>();
  private final Map<DoorIncarnation, DoorAccount> serving = new LinkedHashMap<>();
  private final Map<DoorIncarnation, DoorAccount> idle = new LinkedHashMap<>();

  /** Active accounts that wait, in the order in which they began to. */
  private final Set<DoorAccount> waiting = new LinkedHashSet<>();

  private double outstanding;
  private double required;
  private double prefetch;

  /** The door's account, opened at its first request. */
  DoorAccount account(DoorIncarnation door, TenantUse use) {
    DoorAccount known = find(door);
    return known == null ? new DoorAccount(door, use) : known;
  }

  private DoorAccount find(DoorIncarnation door) {
    DoorAccount account = active.get(door);
    if (account == null) {
      account = serving.get(door);
    }
    return account == null ? idle.get(door) : account;
  }

  /** A door sent a request that is not stale: its account is the most recent one. */
  void requestReceived(DoorAccount account, long request, long now) {
    account.requestReceived(request, now);
    DoorIncarnation door = account.door();
    active.remove(door);
    serving.remove(door);
    idle.remove(door);
    active.put(door, account);
  }

  /** Ends expired grants and the demand of doors without requests; drops idle accounts. */
  void expire(long now) {
    Iterator<DoorAccount> oldestActive = active.values().iterator();
    while (oldestActive.hasNext()) {
      DoorAccount account = oldestActive.next();
      if (now - account.expiresAt() < 0) {
        break;
      }
      oldestActive.remove();
      setOutstanding(account, 0);
      setDemand(account, 0, 0, 0);
      serving.put(account.door(), account);
    }
    Iterator<DoorAccount> oldestServing = serving.values().iterator();
    while (oldestServing.hasNext()) {
      DoorAccount account = oldestServing.next();
      if (now - account.lastRequestAt() < SERVING_NANOS) {
        break;
      }
      oldestServing.remove();
      idle.put(account.door(), account);
    }
    Iterator<DoorAccount> oldestIdle = idle.values().iterator();
    while (oldestIdle.hasNext() && now - oldestIdle.next().lastRequestAt() > IDLE_TIMEOUT_NANOS) {
      oldestIdle.remove();
    }
  }

  /** Granted tokens that doors may still use. */
  double outstanding() {
    return outstanding;
  }

  /** What the queued requests of all active doors need. */
  double required() {
    return required;
  }

  /** What all active doors want beyond their queued requests. */
  double prefetch() {
    return prefetch;
  }

  /** Sets what one door may still use. */
  void setOutstanding(DoorAccount account, double tokens) {
    outstanding += tokens - account.outstanding();
    account.setOutstanding(tokens);
  }

  /**
   * Replaces a door's demand. It waits while its tokens don't cover its queued requests.
   *
   * @param requiredTokens what its queued requests need
   * @param prefetchTokens what it wants beyond that
   * @param unused the tokens that it has
   */
  void setDemand(DoorAccount account, double requiredTokens, double prefetchTokens, double unused) {
    required += requiredTokens - account.required();
    prefetch += prefetchTokens - account.prefetch();
    account.setDemand(requiredTokens, prefetchTokens);
    setWaiting(account, requiredTokens > unused);
  }

  /** A door was granted so many tokens; it no longer waits if they cover its queued requests. */
  void granted(DoorAccount account, long tokens) {
    setWaiting(account, account.isWaiting() && tokens < account.required());
  }

  private void setWaiting(DoorAccount account, boolean waits) {
    if (waits && !account.isWaiting()) {
      waiting.add(account);
    } else if (!waits && account.isWaiting()) {
      waiting.remove(account);
    }
    account.setWaiting(waits);
  }

  /** The door that has waited longest, or null if none waits. */
  DoorAccount longestWaiting(long now) {
    Iterator<DoorAccount> longest = waiting.iterator();
    while (longest.hasNext()) {
      DoorAccount account = longest.next();
      if (now - account.lastRequestAt() < PRECEDENCE_TIMEOUT_NANOS) {
        return account;
      }
      longest.remove();
      account.setWaiting(false);
    }
    return null;
  }

  /** How many doors serve the tenant. */
  int doorsServing(long now) {
    expire(now);
    return active.size() + serving.size();
  }
}
