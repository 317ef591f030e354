package nettletrail.configuration;

import java.util.List;

/**
 * The typed content of a document, before the rules between items are checked.
 *
 * @param hasTenants whether the document has a list of tenants, which may be empty
 */
record ConfigurationModel(
    long edition,
    List<Route> routes,
    List<Service> services,
    boolean hasTenants,
    List<Tenant> tenants,
    Limits limits) {
  ConfigurationModel {
    routes = List.copyOf(routes);
    services = List.copyOf(services);
    tenants = List.copyOf(tenants);
  }
}
