package nettletrail.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The routes of one host by prefix. */
final class HostRoutes {
  private final Map<String, Route> byPrefix = new HashMap<>();
  private int maxPrefixLength;

  /** Groups routes by their host. */
  static Map<String, HostRoutes> byHost(List<Route> routes) {
    Map<String, HostRoutes> byHost = new HashMap<>();
    for (Route route : routes) {
      byHost.computeIfAbsent(route.host(), host -> new HostRoutes()).add(route);
    }
    return byHost;
  }

  private void add(Route route) {
    byPrefix.put(route.prefix(), route);
    maxPrefixLength = Math.max(maxPrefixLength, route.prefix().length());
  }

  /**
   * The route with the longest prefix that begins the path, or null. Costs one look-up for each
   * slash within the longest prefix, whatever the number of routes.
   */
  Route match(String path) {
    int slash = path.lastIndexOf('/', maxPrefixLength - 1);
    while (slash >= 0) {
      Route route = byPrefix.get(path.substring(0, slash + 1));
      if (route != null) {
        return route;
      }
      slash = path.lastIndexOf('/', slash - 1);
    }
    return null;
  }
}
