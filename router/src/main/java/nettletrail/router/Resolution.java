package nettletrail.router;

import java.util.List;
import nettletrail.configuration.Route;
import nettletrail.configuration.RoutingTable;
import nettletrail.configuration.Service;
import nettletrail.configuration.ServiceShare;
import nettletrail.configuration.Tenant;

/**
 * What the active routing table says about a request: its route, service and tenant, or why it is
 * rejected. Pure.
 *
 * @param edition of the routing table; -1 if there is none
 * @param route null if rejected
 * @param service null if rejected
 * @param tenant null if the route needs no key and the request has no known one
 * @param rejection null if the request may be sent
 */
record Resolution(long edition, Route route, Service service, Tenant tenant, Rejection rejection) {
  /**
   * Resolves a request.
   *
   * @param routing null if there is none
   * @param keysConfirmed whether keys may be used now ({@link ControlView#keysConfirmed})
   * @param rejectionsConfirmed whether final rejections, which clients don't retry, are permitted
   *     ({@link ControlView#routingConfirmed})
   * @param draw from 0 to below 1; selects one of the route's services by weight
   */
  static Resolution of(
      RoutingTable routing,
      ClientRequest request,
      boolean keysConfirmed,
      boolean rejectionsConfirmed,
      double draw) {
    if (routing == null) {
      return rejected(-1, Rejection.controlPlaneMissing(request));
    }
    Route route = routing.match(request.host(), request.path());
    if (route == null) {
      return rejected(
          routing.edition(), finalRejection(Rejection.NO_ROUTE, rejectionsConfirmed, request));
    }
    boolean keyRequired = routing.keysRequired() && !route.open();
    if (keyRequired && !keysConfirmed) {
      return rejected(routing.edition(), Rejection.controlPlaneMissing(request));
    }
    String key = request.key();
    Tenant tenant = key == null || !keysConfirmed ? null : routing.tenantOfKey(key);
    if (keyRequired && tenant == null) {
      return rejected(
          routing.edition(), finalRejection(Rejection.UNKNOWN_KEY, rejectionsConfirmed, request));
    }
    Service service = routing.service(selectByWeight(route.services(), draw));
    if (service == null) {
      return rejected(routing.edition(), Rejection.unavailable(0));
    }
    return new Resolution(routing.edition(), route, service, tenant, null);
  }

  /** A newer routing table may permit what an unconfirmed one rejects. */
  private static Rejection finalRejection(
      Rejection rejection, boolean rejectionsConfirmed, ClientRequest request) {
    return rejectionsConfirmed ? rejection : Rejection.controlPlaneMissing(request);
  }

  private static Resolution rejected(long edition, Rejection rejection) {
    return new Resolution(edition, null, null, null, rejection);
  }

  private static String selectByWeight(List<ServiceShare> shares, double draw) {
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

  /** The tenant's priority if it has one, else the route's; 0 first. */
  int priority() {
    boolean tenantHasPriority = tenant != null && tenant.priority() != Tenant.NO_PRIORITY;
    return tenantHasPriority ? tenant.priority() : route.priority();
  }

  /** The tenant's name; empty if there is none. */
  String tenantName() {
    return tenant == null ? "" : tenant.name();
  }

  /**
   * The request's cost in quota tokens.
   *
   * @param count as the client states it, or null
   * @return 0 for a tenant without a rate limit
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
