package nettletrail.router.balance;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Choice for services without an engine: the less loaded of two random backends (Mitzenmacher, "The
 * Power of Two Choices in Randomized Load Balancing", 2001), or a less loaded one of this door's
 * zone. Load is outstanding requests for each slot, multiplied by the relative latency; failures,
 * another zone and slow start add to it.
 */
final class LeastRequestPolicy {
  /** Cost of a failure rate of 1, in requests for each slot. */
  private static final double FAILURE_COST = 4;

  /**
   * Weight of the request that is to be sent, so that slots and latency count where nothing is
   * outstanding.
   */
  private static final double OWN_REQUEST = 0.5;

  private static final double WARMING_UP_COST = 0.5;

  /** Cost of a backend in another zone, in requests for each slot. */
  private static final double OTHER_ZONE_COST = 0.34;

  private final String zone;
  private final SplittableRandom random;

  LeastRequestPolicy(String zone, SplittableRandom random) {
    this.zone = zone;
    this.random = random;
  }

  /**
   * Chooses one of the candidates; draws two random numbers.
   *
   * @param candidates at least one
   */
  BackendLoad choose(List<BackendLoad> candidates, long now) {
    BackendLoad first = candidates.get(random.nextInt(candidates.size()));
    BackendLoad second = candidates.get(random.nextInt(candidates.size()));
    BackendLoad best = cost(second, now) < cost(first, now) ? second : first;
    for (BackendLoad candidate : candidates) {
      if (candidate.isInZone(zone) && cost(candidate, now) < cost(best, now)) {
        best = candidate;
      }
    }
    return best;
  }

  private double cost(BackendLoad load, long now) {
    double utilization = (load.outstanding() + OWN_REQUEST) / load.endpoint().slots();
    return utilization * load.latency().slowdown(now)
        + FAILURE_COST * load.failureRate(now)
        + (load.isInZone(zone) ? 0 : OTHER_ZONE_COST)
        + (load.endpoint().warmUpLeftMs() > 0 ? WARMING_UP_COST : 0);
  }
}
