package nettletrail.router;

import java.util.concurrent.TimeUnit;
import nettletrail.configuration.Service;
import nettletrail.router.admission.AdmissionQueue;
import nettletrail.router.admission.VirtualCounters;
import nettletrail.router.balance.ServiceBackends;
import nettletrail.router.retry.RetryBudget;

/** The router's state of one service: queue, backends and retry budget. On the event loop. */
final class ServiceState {
  /**
   * Requests in flight for each slot of the service, divided by the doors; includes requests that
   * are queued at backends.
   */
  private static final double ENGINE_HEADROOM = 4;

  private static final double PLAIN_HEADROOM = 6;
  private static final int MIN_IN_FLIGHT = 8;

  /** The rest of a backend's connections is for doors whose count of the doors is outdated. */
  private static final double CONNECTION_SHARE = 0.9;

  private final String name;
  private final AdmissionQueue<Exchange> queue;
  private final ServiceBackends backends;
  private final RetryBudget retryBudget;

  /**
   * @param counters shared by the queues of all services
   * @param startedAt when the router started, ns: its retry budget grows from then on
   */
  ServiceState(String name, RouterSettings settings, VirtualCounters counters, long startedAt) {
    this.name = name;
    queue = new AdmissionQueue<>(counters);
    backends = new ServiceBackends(settings.zone(), settings.seed() ^ name.hashCode());
    retryBudget =
        new RetryBudget(
            settings.retryRatio(),
            settings.retrySlack(),
            TimeUnit.MILLISECONDS.toNanos(settings.retryWindowMs()),
            startedAt);
  }

  String name() {
    return name;
  }

  AdmissionQueue<Exchange> queue() {
    return queue;
  }

  ServiceBackends backends() {
    return backends;
  }

  RetryBudget retryBudget() {
    return retryBudget;
  }

  /**
   * Limit of requests in flight from this door.
   *
   * @param doors that serve, this one included
   */
  int maxInFlight(Service service, int doors) {
    double headroom = service.engine() == null ? PLAIN_HEADROOM : ENGINE_HEADROOM;
    return Math.max(MIN_IN_FLIGHT, (int) Math.ceil(backends.slots() * headroom / doors));
  }

  /** Limit of connections from this door to one backend. */
  static int maxConnectionsToBackend(Service service, int doors) {
    return Math.max(1, (int) (service.connectionCap() * CONNECTION_SHARE / doors));
  }
}
