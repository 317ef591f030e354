package nettletrail.router;

import java.util.List;
import nettletrail.configuration.Route;
import nettletrail.configuration.RoutingTable;
import nettletrail.configuration.Service;
import nettletrail.configuration.ServiceShare;
import nettletrail.configuration.Tenant;

/**
 * What the routing in force says of a request: its route, the service that the request goes to, and
 * the tenant that its key stands for, or why it is refused. Pure.
 *
 * @param edition of the routing
 * @param route null if refused
 * @param service null if refused
 * @param tenant null where the route needs no key and there is none that is known
 * @param refusal null if the request may be sent
 */
record Resolution(long edition, Route route, Service service, Tenant tenant, Refusal refusal) {
  /**
   * Looks a request up.
   *
   * @param routing null if none is known
   * @param keysConfirmed whether keys may be used now
   * @param refusalsConfirmed whether the routing is known to be new enough to refuse for good by it
   * @param draw from 0 to below 1: which of the route's services the request goes to by their
   *     weights
   */
  static Resolution of(
      RoutingTable routing,
      ClientRequest request,
      boolean keysConfirmed,
      boolean refusalsConfirmed,
      double draw) {
    if (routing == null) {
      return refused(-1, Refusal.controlPlaneMissing(request));
    }
    Route route = routing.match(request.host(), request.path());
    if (route == null) {
      return refused(routing.edition(), finalRefusal(Refusal.NO_ROUTE, refusalsConfirmed, request));
    }
    boolean keyNeeded = routing.keysRequired() && !route.open();
    if (keyNeeded && !keysConfirmed) {
      return refused(routing.edition(), Refusal.controlPlaneMissing(request));
    }
    String key = request.key();
    Tenant tenant = key == null || !keysConfirmed ? null : routing.tenantOfKey(key);
    if (keyNeeded && tenant == null) {
      return refused(
          routing.edition(), finalRefusal(Refusal.UNKNOWN_KEY, refusalsConfirmed, request));
    }
    Service service = routing.service(drawn(route.services(), draw));
    if (service == null) {
      return refused(routing.edition(), Refusal.unavailable(0));
    }
    return new Resolution(routing.edition(), route, service, tenant, null);
  }

  /** A newer routing may allow what one allows not that nobody has confirmed. */
  private static Refusal finalRefusal(
      Refusal refusal, boolean refusalsConfirmed, ClientRequest request) {
    return refusalsConfirmed ? refusal : Refusal.controlPlaneMissing(request);
  }

  private static Resolution refused(long edition, Refusal refusal) {
    return new Resolution(edition, null, null, null, refusal);
  }

  private static String drawn(List<ServiceShare> shares, double draw) {
    if (shares.size() == 1) {
      return shares.get(0).service();
    }
    long sum = 0;
    for (ServiceShare share : shares) {
      sum += share.weight();
    }
    double left = draw * sum;
    String last = null;
    for (ServiceShare share : shares) {
      if (share.weight() > 0) {
        last = share.service();
        left -= share.weight();
        if (left < 0) {
          return last;
        }
      }
    }
    return last;
  }

  /** The priority that a request is sent with, 0 first. */
  int priority() {
    boolean tenantHasOne = tenant != null && tenant.priority() != Tenant.NO_PRIORITY;
    return tenantHasOne ? tenant.priority() : route.priority();
  }

  /** The tenant's name; "" if there is none. */
  String tenantName() {
    return tenant == null ? "" : tenant.name();
  }

  /**
   * What the request takes of its tenant's quota.
   *
   * @param count as the client states it, or null
   * @return 0 for a tenant without a limit
   */
  long quotaCost(TokenCount count) {
    if (tenant == null || tenant.ratePerSecond() <= 0) {
      return 0;
    }
    if (!tenant.countsTokens()) {
      return 1;
    }
    return count == null ? tenant.plainTokens() : count.sum();
  }
}
