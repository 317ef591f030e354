package nettletrail.router;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import nettletrail.configuration.Tenant;
import nettletrail.router.admission.AdmissionController;

/**
 * What of its tenant's quota an exchange may use: tokens of the hard grants, and before these the
 * companion's estimate, by which requests beyond the rate are refused at once. On the event loop.
 */
final class QuotaGate {
  /** A tenant that asks and gets nothing for so long lacks its grants, not its quota. */
  static final long STARVED_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final ControlView control;
  private final long seed;

  /** When each tenant last got tokens that it asked for. */
  private final Map<String, Long> lastTaken = new HashMap<>();

  private final Map<String, AdmissionController> admissionControllers = new HashMap<>();

  QuotaGate(ControlView control, long seed) {
    this.control = control;
    this.seed = seed;
  }

  /** Whether a request that has just come may wait for tokens. */
  boolean admits(Exchange exchange, long now) {
    Tenant tenant = exchange.resolution().tenant();
    if (tenant == null || tenant.ratePerSecond() <= 0) {
      return true;
    }
    QuotaSource quota = control.quota();
    String name = tenant.name();
    return admissionController(tenant, now)
        .admits(quota.pressurePercent(name), quota.doorsServing(name), now);
  }

  private AdmissionController admissionController(Tenant tenant, long now) {
    AdmissionController admissionController = admissionControllers.get(tenant.name());
    if (admissionController == null) {
      int doors = control.quota().doorsServing(tenant.name());
      long seedOfTenant = seed ^ tenant.name().hashCode();
      admissionController =
          new AdmissionController(tenant.ratePerSecond(), tenant.burst(), doors, seedOfTenant, now);
      admissionControllers.put(tenant.name(), admissionController);
    }
    admissionController.setLimit(tenant.ratePerSecond(), tenant.burst());
    return admissionController;
  }

  /** Takes what the exchange costs, once; whether it has it. */
  boolean take(Exchange exchange, long now) {
    long cost = exchange.resolution().quotaCost(exchange.tokens);
    if (cost == 0 || exchange.quotaTaken > 0) {
      return true;
    }
    String tenant = exchange.resolution().tenantName();
    if (!control.quota().take(tenant, cost, now)) {
      exchange.quotaShort = true;
      return false;
    }
    lastTaken.put(tenant, now);
    admissionController(exchange.resolution().tenant(), now).recordUse(cost);
    exchange.quotaTaken = cost;
    exchange.quotaTenant = tenant;
    return true;
  }

  /**
   * Whether nobody grants tokens to the tenant: a request beyond its quota is refused while others
   * get theirs.
   */
  boolean isStarved(Exchange exchange, long now) {
    Long last = lastTaken.get(exchange.tenantName());
    return last == null || now - last > STARVED_NANOS;
  }

  /** Returns what the exchange took: no backend has run it. */
  void refund(Exchange exchange, long now) {
    if (exchange.quotaTaken > 0) {
      control.quota().refund(exchange.quotaTenant, exchange.quotaTaken, now);
      exchange.quotaTaken = 0;
    }
  }

  /** Forgets tenants that the configuration no longer has. */
  void routingChanged() {
    if (control.routing() != null) {
      admissionControllers.keySet().removeIf(name -> control.routing().tenant(name) == null);
      lastTaken.keySet().removeIf(name -> control.routing().tenant(name) == null);
    }
  }
}
