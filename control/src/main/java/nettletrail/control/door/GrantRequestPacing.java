package nettletrail.control.door;

import java.util.List;
import java.util.concurrent.TimeUnit;

/** How long after one request to a shard's owner the next one is due, in nanoseconds. */
final class GrantRequestPacing {
  /** While a tenant is short, or the owner waits for reclaimed tokens. */
  static final long SHORTAGE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

  private static final long LOW_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long USUAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private GrantRequestPacing() {}

  /** The interval of the tenant that needs tokens most urgently. */
  static long intervalNanos(List<TenantTokens> tenants, long now) {
    long shortest = USUAL_INTERVAL_NANOS;
    for (TenantTokens tenant : tenants) {
      shortest = Math.min(shortest, intervalNanos(tenant, now));
    }
    return shortest;
  }

  private static long intervalNanos(TenantTokens tenant, long now) {
    boolean isShort = tenant.shortage(now) > 0;
    if (isShort && tenant.isGrantedInFull()) {
      return 0;
    }
    if (isShort || tenant.isReclaimed()) {
      return SHORTAGE_INTERVAL_NANOS;
    }
    return tenant.isLow(now) ? LOW_INTERVAL_NANOS : USUAL_INTERVAL_NANOS;
  }
}
