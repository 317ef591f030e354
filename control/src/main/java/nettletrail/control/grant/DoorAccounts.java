package nettletrail.control.grant;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import nettletrail.protocol.TenantUse;

/**
 * The accounts of all doors at one tenant's bucket, with the sum of their outstanding tokens. An
 * account whose tokens have expired is dropped after the door has been idle for some seconds.
 */
final class DoorAccounts {
  private static final long MILLIS = 1_000_000L;

  /** A door that sent a request within this time serves the tenant. */
  private static final long SERVING_NANOS = 3_000 * MILLIS;

  private static final long IDLE_TIMEOUT_NANOS = 2 * SERVING_NANOS;

  private final Map<DoorIncarnation, DoorAccount> accounts = new LinkedHashMap<>();

  /** Summed anew by each {@link #expire}, so that rounding errors don't accumulate. */
  private double outstandingSum;

  /** The door's account, opened at its first request. */
  DoorAccount account(DoorIncarnation door, TenantUse use) {
    return accounts.computeIfAbsent(door, unknown -> new DoorAccount(use));
  }

  /** Ends expired grants and drops idle accounts. */
  void expire(long now) {
    double sum = 0;
    Iterator<DoorAccount> iterator = accounts.values().iterator();
    while (iterator.hasNext()) {
      DoorAccount account = iterator.next();
      if (account.outstanding > 0 && now - account.expiresAt >= 0) {
        account.outstanding = 0;
      }
      sum += account.outstanding;
      if (account.outstanding == 0 && now - account.lastRequestAt() > IDLE_TIMEOUT_NANOS) {
        iterator.remove();
      }
    }
    outstandingSum = sum;
  }

  /** Granted tokens that doors may still use. */
  double outstanding() {
    return outstandingSum;
  }

  /** Sets what one door may still use. */
  void setOutstanding(DoorAccount account, double tokens) {
    outstandingSum = Math.max(0, outstandingSum + tokens - account.outstanding);
    account.outstanding = tokens;
  }

  /** How many doors serve the tenant. */
  int doorsServing(long now) {
    int serving = 0;
    for (DoorAccount account : accounts.values()) {
      serving += now - account.lastRequestAt() < SERVING_NANOS ? 1 : 0;
    }
    return serving;
  }

  /** The demand of all doors whose last request is more recent than {@code validNanos}. */
  Demand demand(long validNanos, long now) {
    Demand demand = new Demand(accounts.size());
    for (DoorAccount account : accounts.values()) {
      if (account.hasDemand() && now - account.lastRequestAt() < validNanos) {
        demand.add(account, now);
      }
    }
    return demand;
  }
}
