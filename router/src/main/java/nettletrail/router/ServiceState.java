package nettletrail.router;

import java.util.concurrent.TimeUnit;
import nettletrail.configuration.Service;
import nettletrail.router.admission.AdmissionQueue;
import nettletrail.router.admission.VirtualCounters;
import nettletrail.router.balance.ServiceBackends;
import nettletrail.router.retry.RetryBudget;

/** All that the router keeps about one service. */
final class ServiceState {
  /**
   * Requests in flight for each slot of the service, shared out among the doors: what waits at
   * backends is included.
   */
  private static final double ENGINE_HEADROOM = 4;

  private static final double PLAIN_HEADROOM = 6;
  private static final int MIN_BOUND = 8;

  /** A door's share of a backend's connections; the rest is for doors that count too few others. */
  private static final double CONNECTION_SHARE = 0.9;

  final String name;
  final AdmissionQueue<Exchange> queue;
  final ServiceBackends backends;
  final RetryBudget budget;

  /**
   * @param startedAt when the router began, ns: its retry budget grows from then on
   */
  ServiceState(String name, RouterSettings settings, VirtualCounters counters, long startedAt) {
    this.name = name;
    queue = new AdmissionQueue<>(counters);
    backends = new ServiceBackends(settings.zone(), settings.seed() ^ name.hashCode());
    budget =
        new RetryBudget(
            settings.retryRatio(),
            settings.retrySlack(),
            TimeUnit.MILLISECONDS.toNanos(settings.retryWindowMs()),
            startedAt);
  }

  /** Requests in flight, at most, from this door. */
  int bound(Service service, int doors) {
    double headroom = service.engine() == null ? PLAIN_HEADROOM : ENGINE_HEADROOM;
    return Math.max(MIN_BOUND, (int) Math.ceil(backends.slots() * headroom / doors));
  }

  /** Connections to one backend, at most, from this door. */
  static int connectionBound(Service service, int doors) {
    return Math.max(1, (int) (service.connectionCap() * CONNECTION_SHARE / doors));
  }
}
