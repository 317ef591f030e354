package nettletrail.router.balance;

import java.util.List;

/**
 * Ranks the backends for a prompt prefix by rendezvous hashing (highest random weight; Thaler and
 * Ravishankar, 1998). All doors compute the same ranking without coordination, and a backend that
 * joins or leaves changes the first rank of few prefixes only.
 */
final class PrefixAffinityRanking {
  private static final long FIRST_MULTIPLIER = 0x9E3779B97F4A7C15L;
  private static final long SECOND_MULTIPLIER = 0xBF58476D1CE4E5B9L;
  private static final long THIRD_MULTIPLIER = 0x94D049BB133111EBL;
  private static final int FIRST_SHIFT = 31;
  private static final int SECOND_SHIFT = 29;

  private PrefixAffinityRanking() {}

  /**
   * The backends that rank highest for a key.
   *
   * @param first null if there is no backend
   * @param second null if there are fewer than two
   */
  record TopTwo(BackendLoad first, BackendLoad second) {}

  /** The two backends with the highest scores for the key; the earlier one wins a tie. */
  static TopTwo topTwo(List<BackendLoad> backends, long key) {
    BackendLoad first = null;
    BackendLoad second = null;
    long firstScore = 0;
    long secondScore = 0;
    for (BackendLoad backend : backends) {
      long score = score(key, backend.endpoint().id());
      if (first == null || score > firstScore) {
        second = first;
        secondScore = firstScore;
        first = backend;
        firstScore = score;
      } else if (second == null || score > secondScore) {
        second = backend;
        secondScore = score;
      }
    }
    return new TopTwo(first, second);
  }

  private static long score(long key, String backendId) {
    long mixed = (key ^ backendId.hashCode() * FIRST_MULTIPLIER) * SECOND_MULTIPLIER;
    mixed = (mixed ^ mixed >>> FIRST_SHIFT) * THIRD_MULTIPLIER;
    return mixed ^ mixed >>> SECOND_SHIFT;
  }
}
