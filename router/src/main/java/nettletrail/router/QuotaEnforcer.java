package nettletrail.router;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import nettletrail.configuration.Tenant;
import nettletrail.router.admission.AdmissionController;

/**
 * Enforces the rate limits of tenants: on arrival by load shedding ({@link AdmissionController}),
 * before the first attempt by tokens of the grants ({@link QuotaSource}). On the event loop.
 */
final class QuotaEnforcer {
  /** A tenant that acquires nothing for this time lacks grants, not quota. */
  static final long STARVATION_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final ControlView control;
  private final long seed;

  /** When each tenant last acquired tokens, ns. */
  private final Map<String, Long> lastAcquiredAt = new HashMap<>();

  private final Map<String, AdmissionController> admissionControllers = new HashMap<>();

  QuotaEnforcer(ControlView control, long seed) {
    this.control = control;
    this.seed = seed;
  }

  /** Whether a new request may be queued; may draw a random number. */
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
    AdmissionController controller = admissionControllers.get(tenant.name());
    if (controller == null) {
      int doors = control.quota().doorsServing(tenant.name());
      long tenantSeed = seed ^ tenant.name().hashCode();
      controller =
          new AdmissionController(tenant.ratePerSecond(), tenant.burst(), doors, tenantSeed, now);
      admissionControllers.put(tenant.name(), controller);
    }
    controller.setLimit(tenant.ratePerSecond(), tenant.burst());
    return controller;
  }

  /** Acquires the exchange's quota cost unless it has it already; returns whether it has it. */
  boolean acquire(Exchange exchange, long now) {
    long cost = exchange.resolution().quotaCost(exchange.tokens());
    if (cost == 0 || exchange.quota().isHeld()) {
      return true;
    }
    String tenant = exchange.resolution().tenantName();
    if (!control.quota().tryAcquire(tenant, cost, now)) {
      exchange.quota().denied(tenant, cost);
      return false;
    }
    lastAcquiredAt.put(tenant, now);
    admissionController(exchange.resolution().tenant(), now).recordUse(cost);
    exchange.quota().acquired(tenant, cost);
    return true;
  }

  /**
   * Whether the tenant receives no grants at all. A tenant above its rate still acquires tokens for
   * some of its requests.
   */
  boolean isStarved(Exchange exchange, long now) {
    Long last = lastAcquiredAt.get(exchange.tenantName());
    return last == null || now - last > STARVATION_NANOS;
  }

  /**
   * The exchange leaves the queue, or moves to another tenant's.
   *
   * @return the tenant for whose tokens it waited; null if it didn't wait
   */
  String withdraw(Exchange exchange) {
    return exchange.quota().withdraw(control.quota());
  }

  /** Returns the exchange's tokens: no backend has run it. */
  void refund(Exchange exchange, long now) {
    exchange.quota().refund(control.quota(), now);
  }

  /** Drops the state of tenants that the active configuration doesn't contain. */
  void routingChanged() {
    if (control.routing() != null) {
      admissionControllers.keySet().removeIf(name -> control.routing().tenant(name) == null);
      lastAcquiredAt.keySet().removeIf(name -> control.routing().tenant(name) == null);
    }
  }
}
