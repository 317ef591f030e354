package nettletrail.configuration;

import java.util.List;

/**
 * A route: the services that get the requests of one host and path prefix.
 *
 * @param name unique among routes
 * @param host the host in lower case, without port
 * @param prefix begins the path; begins and ends with a slash
 * @param kind whether a request may run more than once
 * @param timeoutMs the timeout of a request, in milliseconds; above zero
 * @param targetMs the latency target of an answer, in milliseconds
 * @param priority the priority of requests; 0 is the highest
 * @param services the services and their weights; the weights add up to more than zero
 * @param attempts the most backends that one request may be forwarded to; at least one
 * @param open whether requests need no key although there are tenants
 * @param sticky whether requests name the chunks of their prompt, for prefix cache affinity
 * @param resume whether a stream may be resumed at another backend
 * @param gapMs the target for the longest time between two events of a stream, in milliseconds; 0
 *     if not stated
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
