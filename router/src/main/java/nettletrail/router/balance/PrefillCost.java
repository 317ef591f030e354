package nettletrail.router.balance;

import java.util.List;
import nettletrail.configuration.Engine;

/**
 * Expected cost of a request at an engine's backend, in prompt tokens: the prefill work in front of
 * it, the shared prefix if the backend's cache lacks it, and a charge for each running request,
 * which makes every decode step longer. A backend whose KV cache would be so full that it preempts
 * requests costs more than any other.
 */
final class PrefillCost {
  /**
   * Prefill of a shared prefix that misses the cache costs more than its time: it evicts others.
   */
  private static final double PREFIX_MISS_WEIGHT = 2.5;

  /** What a running request costs the next one. */
  private static final double RUNNING_REQUEST_TOKENS = 40;

  /** What a backend in another zone costs more: two round trips of some ms. */
  private static final double OTHER_ZONE_TOKENS = 150;

  /** Above this share of its KV cache an engine begins to preempt requests. */
  private static final double MAX_MEMORY_SHARE = 0.85;

  /** What every response takes before it begins. */
  private static final double STEP_TOKENS = 3_500;

  /**
   * Upper bound for the guess of the other doors' use, as a share of the KV cache: one long prompt
   * at this door says little about dozens of others.
   */
  private static final double MAX_ESTIMATED_SHARE = 0.4;

  private static final double OVER_MEMORY_TOKENS = 1e7;

  /** Cost of a failure rate of 1: more than any prompt. */
  private static final double FAILURE_TOKENS = 60_000;

  private final PrefixAwarePolicy.Query query;
  private final String zone;
  private final long now;

  PrefillCost(PrefixAwarePolicy.Query query, String zone, long now) {
    this.query = query;
    this.zone = zone;
    this.now = now;
  }

  /** Tokens of work in front of a request that is sent to the backend now. */
  static double queuedTokens(BackendLoad load) {
    return load.prefillTokens() + RUNNING_REQUEST_TOKENS * load.outstanding() + STEP_TOKENS;
  }

  /**
   * The cost at a backend, in prompt tokens.
   *
   * @param missProbability that its prefix cache lacks the shared prefix, from 0 to 1
   */
  double of(BackendLoad load, double missProbability) {
    double cost =
        missProbability * query.request().prefix().tokens() * PREFIX_MISS_WEIGHT
            + queuedTokens(load) * load.latency().slowdown(now)
            + FAILURE_TOKENS * load.failureRate(now)
            + (load.isInZone(zone) ? 0 : OTHER_ZONE_TOKENS);
    long kvTokens = query.engine().kvTokens();
    double memory = expectedMemory(load) + query.request().memoryTokens();
    boolean overMemory = kvTokens > 0 && memory > MAX_MEMORY_SHARE * kvTokens;
    return overMemory ? cost + OVER_MEMORY_TOKENS * memory / kvTokens : cost;
  }

  /**
   * KV cache tokens in use: by requests of this door, and by those of the other doors on the
   * assumption that each sends as much as this one, spread over all backends.
   */
  private double expectedMemory(BackendLoad load) {
    List<BackendLoad> ready = query.ready();
    Engine engine = query.engine();
    long sum = 0;
    for (BackendLoad backend : ready) {
      sum += backend.memoryTokens();
    }
    double otherDoors = (query.doors() - 1.0) * sum / ready.size();
    return load.memoryTokens() + Math.min(otherDoors, MAX_ESTIMATED_SHARE * engine.kvTokens());
  }
}
