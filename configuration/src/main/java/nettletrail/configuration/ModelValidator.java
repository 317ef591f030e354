package nettletrail.configuration;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettletrail.configuration.ConfigurationException.Step;

/** Checks the rules that hold between the items of a configuration. */
final class ModelValidator {
  private ModelValidator() {}

  /**
   * Checks all rules but that of the edition, in a fixed order.
   *
   * @throws ConfigurationException with step VALIDATE, naming the first rule that is broken
   */
  static void requireValid(ConfigurationModel model) throws ConfigurationException {
    requireUniqueNames(ModelReader.ROUTES, model.routes().stream().map(Route::name).toList());
    requireUniqueNames(ModelReader.SERVICES, model.services().stream().map(Service::name).toList());
    requireUniqueNames(ModelReader.TENANTS, model.tenants().stream().map(Tenant::name).toList());
    requireValidRoutes(model);
    requireUniquePrefixes(model.routes());
    requireUniqueKeys(model.tenants());
  }

  private static void requireUniqueNames(String list, List<String> names)
      throws ConfigurationException {
    Set<String> seen = new HashSet<>();
    for (String name : names) {
      if (!seen.add(name)) {
        throw invalid(list, "the name " + name + " stands twice");
      }
    }
  }

  private static void requireValidRoutes(ConfigurationModel model) throws ConfigurationException {
    Set<String> services = new HashSet<>();
    for (Service service : model.services()) {
      services.add(service.name());
    }
    for (Route route : model.routes()) {
      String subject = "route " + route.name();
      requireTimeout(route, subject);
      requirePrefix(route, subject);
      requireKnownServices(route, services, subject);
      requireWeights(route, subject);
    }
  }

  private static void requireTimeout(Route route, String subject) throws ConfigurationException {
    if (route.timeoutMs() <= 0) {
      throw invalid(subject, "timeout_ms is not above 0");
    }
  }

  private static void requirePrefix(Route route, String subject) throws ConfigurationException {
    if (!route.prefix().startsWith("/") || !route.prefix().endsWith("/")) {
      throw invalid(subject, "lane_prefix does not begin and end with a slash");
    }
  }

  private static void requireKnownServices(Route route, Set<String> services, String subject)
      throws ConfigurationException {
    for (ServiceShare share : route.services()) {
      if (!services.contains(share.service())) {
        throw invalid(subject, "unknown service " + share.service());
      }
    }
  }

  private static void requireWeights(Route route, String subject) throws ConfigurationException {
    long sum = 0;
    for (ServiceShare share : route.services()) {
      if (share.weight() < 0) {
        throw invalid(subject, "the weight of " + share.service() + " is negative");
      }
      sum += share.weight();
    }
    if (sum == 0) {
      throw invalid(subject, "the weights add up to 0");
    }
  }

  private static void requireUniquePrefixes(List<Route> routes) throws ConfigurationException {
    Map<String, Set<String>> prefixesByHost = new HashMap<>();
    for (Route route : routes) {
      Set<String> prefixes = prefixesByHost.computeIfAbsent(route.host(), host -> new HashSet<>());
      if (!prefixes.add(route.prefix())) {
        throw invalid("route " + route.name(), "another route has its host and prefix");
      }
    }
  }

  private static void requireUniqueKeys(List<Tenant> tenants) throws ConfigurationException {
    Set<String> seen = new HashSet<>();
    for (Tenant tenant : tenants) {
      for (String key : tenant.keys()) {
        if (!seen.add(key)) {
          throw invalid("tenant " + tenant.name(), "another tenant has one of its keys");
        }
      }
    }
  }

  private static ConfigurationException invalid(String subject, String reason) {
    return new ConfigurationException(Step.VALIDATE, subject, reason);
  }
}
