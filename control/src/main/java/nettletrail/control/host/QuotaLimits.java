package nettletrail.control.host;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import nettletrail.configuration.Tenant;
import nettletrail.control.grant.QuotaLimit;

/** The quota limits that a configuration gives to its tenants. */
public final class QuotaLimits {
  private QuotaLimits() {}

  /** Returns each tenant's limit by the tenant's name; the map is the caller's. */
  public static Map<String, QuotaLimit> of(Collection<Tenant> tenants) {
    Map<String, QuotaLimit> limits = new HashMap<>();
    for (Tenant tenant : tenants) {
      limits.put(tenant.name(), new QuotaLimit(tenant.ratePerSecond(), tenant.burst()));
    }
    return limits;
  }
}
