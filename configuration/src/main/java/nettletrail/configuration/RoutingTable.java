package nettletrail.configuration;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** One edition compiled for use per request. Immutable and safe for all threads. */
public final class RoutingTable {
  private final ConfigurationModel model;
  private final Map<String, HostRoutes> routesByHost;
  private final Map<String, Service> services;
  private final Map<String, Tenant> tenants;
  private final Map<String, Tenant> tenantsByKey;

  private RoutingTable(ConfigurationModel model) {
    this.model = model;
    this.routesByHost = HostRoutes.byHost(model.routes());
    this.services = new HashMap<>();
    this.tenants = new HashMap<>();
    this.tenantsByKey = new HashMap<>();
    model.services().forEach(service -> services.put(service.name(), service));
    model.tenants().forEach(this::indexTenant);
  }

  private void indexTenant(Tenant tenant) {
    tenants.put(tenant.name(), tenant);
    tenant.keys().forEach(key -> tenantsByKey.put(key, tenant));
  }

  /**
   * Compiles a document.
   *
   * @throws ConfigurationException with step VALIDATE if the document breaks a rule, see {@link
   *     ConfigurationDocument#requireValidAfter}; its edition is not compared with another
   */
  public static RoutingTable compile(ConfigurationDocument document) throws ConfigurationException {
    ModelValidator.requireValid(document.model());
    return new RoutingTable(document.model());
  }

  /** The number of the edition compiled. */
  public long edition() {
    return model.edition();
  }

  /**
   * The route of a request: the one with the longest prefix, of those of the host, that begins the
   * path.
   *
   * @param host the Host header; case and port don't matter
   * @param path the path without query, as sent
   * @return null if there is no route
   */
  public Route match(String host, String path) {
    HostRoutes routes = routesByHost.get(host);
    if (routes == null) {
      routes = routesByHost.get(HostNames.normalized(host));
    }
    return routes == null ? null : routes.match(path);
  }

  /** The tenant with this key, or null. */
  public Tenant tenantOfKey(String key) {
    return tenantsByKey.get(key);
  }

  /** The tenant with this name, or null. */
  public Tenant tenant(String name) {
    return tenants.get(name);
  }

  /** The service with this name, or null. */
  public Service service(String name) {
    return services.get(name);
  }

  /** The limits for clients. */
  public Limits limits() {
    return model.limits();
  }

  /**
   * Whether requests need a key unless their route is open: true if the document has a list of
   * tenants. An empty list admits nobody, as after the removal of the last tenant.
   */
  public boolean keysRequired() {
    return model.hasTenants();
  }

  /** All routes in the order of the document. */
  public Collection<Route> routes() {
    return model.routes();
  }

  /** All services in the order of the document. */
  public Collection<Service> services() {
    return model.services();
  }

  /** All tenants in the order of the document. */
  public Collection<Tenant> tenants() {
    return model.tenants();
  }
}
