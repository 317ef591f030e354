package nettletrail.router.balance;

import java.util.List;
import java.util.SplittableRandom;
import nettletrail.configuration.Engine;

/**
 * Choice for services with an inference engine: the backend with the lowest {@link PrefillCost}
 * among those that may have the prompt's shared prefix in their prefix cache and two random ones.
 * The random ones keep doors with the same outdated view from all choosing the same backend.
 *
 * <p>Whether a backend has the prefix is known from this door's own requests ({@link PrefixIndex});
 * without any it is guessed from the rank of the backend ({@link PrefixAffinityRanking}), which is
 * the same at all doors.
 */
final class PrefixAwarePolicy {
  /**
   * Probability that the backend of the first rank lacks a prefix that this door hasn't sent it.
   */
  private static final double FIRST_RANK_MISS = 0.05;

  private static final double SECOND_RANK_MISS = 0.7;

  private final String zone;
  private final SplittableRandom random;
  private final PrefixIndex prefixIndex;

  PrefixAwarePolicy(String zone, SplittableRandom random, PrefixIndex prefixIndex) {
    this.zone = zone;
    this.random = random;
    this.prefixIndex = prefixIndex;
  }

  /**
   * What one choice depends on.
   *
   * @param candidates that may be chosen; at least one
   * @param ready all ready backends of the service
   * @param doors that send to the same backends; at least 1
   */
  record Query(
      List<BackendLoad> candidates,
      List<BackendLoad> ready,
      BackendChoice request,
      Engine engine,
      int doors) {}

  /** Chooses one of the candidates; draws two random numbers. */
  BackendLoad choose(Query query, long now) {
    List<BackendLoad> candidates = query.candidates();
    long prefix = query.request().prefix().key();
    PrefixAffinityRanking.TopTwo preferred = PrefixAffinityRanking.topTwo(candidates, prefix);
    int firstRandom = random.nextInt(candidates.size());
    int secondRandom = random.nextInt(candidates.size());
    PrefillCost prefillCost = new PrefillCost(query, zone, now);
    BackendLoad best = null;
    double minCost = Double.POSITIVE_INFINITY;
    for (int i = 0; i < candidates.size(); i++) {
      BackendLoad candidate = candidates.get(i);
      double miss = missProbability(candidate, preferred, prefix);
      if (miss == 1 && i != firstRandom && i != secondRandom) {
        continue;
      }
      double cost = prefillCost.of(candidate, miss);
      if (cost < minCost) {
        minCost = cost;
        best = candidate;
      }
    }
    return best;
  }

  /** The probability that a backend's prefix cache lacks the prefix. */
  private double missProbability(
      BackendLoad load, PrefixAffinityRanking.TopTwo preferred, long prefix) {
    if (prefix == 0) {
      return 1;
    }
    if (prefixIndex.contains(prefix, load.endpoint().id())) {
      return 0;
    }
    if (load == preferred.first()) {
      return FIRST_RANK_MISS;
    }
    return load == preferred.second() ? SECOND_RANK_MISS : 1;
  }
}
