package nettletrail.router.balance;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which backends this door has lately sent each shared prefix to. Holds a bounded number of
 * prefixes, the latest used.
 */
final class PrefixIndex {
  private static final int MAX_PREFIXES = 4_096;
  private static final int MAX_BACKENDS = 3;

  private final Map<Long, List<String>> backends =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, List<String>> eldest) {
          return size() > MAX_PREFIXES;
        }
      };

  /** A request with this prefix was sent there. */
  void sent(long prefix, String backendId) {
    List<String> known = backends.computeIfAbsent(prefix, key -> new ArrayList<>(1));
    if (!known.isEmpty() && known.get(0).equals(backendId)) {
      return;
    }
    known.remove(backendId);
    known.add(0, backendId);
    if (known.size() > MAX_BACKENDS) {
      known.remove(MAX_BACKENDS);
    }
  }

  /** Whether it was sent there. */
  boolean wasSent(long prefix, String backendId) {
    List<String> known = backends.get(prefix);
    return known != null && known.contains(backendId);
  }
}
