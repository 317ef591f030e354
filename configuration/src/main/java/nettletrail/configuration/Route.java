package nettletrail.configuration;

import java.util.List;

/**
 * Where requests of one host and path prefix go.
 *
 * @param name unique among routes
 * @param host the host in lower case, without port
 * @param prefix begins the path; begins and ends with a slash
 * @param kind how often a request may run
 * @param timeoutMs the longest a request may be held, in milliseconds; above zero
 * @param targetMs the time in which an answer earns its full worth, in milliseconds
 * @param priority the rank of requests, 0 first
 * @param services the services and their weights; the weights add up to more than zero
 * @param attempts the largest number of backends one try may be sent to; at least one
 * @param open whether requests need no key although there are tenants
 * @param sticky whether requests name the parts of their prompt
 * @param resume whether a stream may be taken up at another backend
 * @param gapMs the longest pause between events, in milliseconds; 0 if not stated
 */
public record Route(
    String name,
    String host,
    String prefix,
    RouteKind kind,
    int timeoutMs,
    int targetMs,
    int priority,
    List<ServiceShare> services,
    int attempts,
    boolean open,
    boolean sticky,
    boolean resume,
    int gapMs) {

  /** Copies the list of services. */
  public Route {
    services = List.copyOf(services);
  }
}
