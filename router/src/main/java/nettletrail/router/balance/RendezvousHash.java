package nettletrail.router.balance;

import java.util.List;

/**
 * Rendezvous hashing: each key ranks all backends in an order of its own, the same at every door,
 * and a backend that comes or goes changes the first place of few keys only.
 */
final class RendezvousHash {
  private static final long FIRST_MULTIPLIER = 0x9E3779B97F4A7C15L;
  private static final long SECOND_MULTIPLIER = 0xBF58476D1CE4E5B9L;
  private static final long THIRD_MULTIPLIER = 0x94D049BB133111EBL;
  private static final int FIRST_SHIFT = 31;
  private static final int SECOND_SHIFT = 29;

  private RendezvousHash() {}

  /**
   * The backends that rank first and second for the key.
   *
   * @return two elements; what there is no backend for is null
   */
  static BackendLoad[] firstTwo(List<BackendLoad> backends, long key) {
    BackendLoad[] first = new BackendLoad[2];
    long highest = 0;
    long second = 0;
    for (BackendLoad each : backends) {
      long score = score(key, each.endpoint().id());
      if (first[0] == null || score > highest) {
        first[1] = first[0];
        second = highest;
        first[0] = each;
        highest = score;
      } else if (first[1] == null || score > second) {
        first[1] = each;
        second = score;
      }
    }
    return first;
  }

  private static long score(long key, String backendId) {
    long mixed = (key ^ backendId.hashCode() * FIRST_MULTIPLIER) * SECOND_MULTIPLIER;
    mixed = (mixed ^ mixed >>> FIRST_SHIFT) * THIRD_MULTIPLIER;
    return mixed ^ mixed >>> SECOND_SHIFT;
  }
}
