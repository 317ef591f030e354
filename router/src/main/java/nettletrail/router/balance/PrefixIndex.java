package nettletrail.router.balance;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The backends to which this door last sent each shared prompt prefix, and which therefore probably
 * have it in their prefix cache. Bounded: the least recently used prefix is evicted.
 */
final class PrefixIndex {
  private static final int MAX_PREFIXES = 4_096;
  private static final int MAX_BACKENDS_PER_PREFIX = 3;

  /** Ids by prefix key, the latest used backend first. */
  private final Map<Long, List<String>> backends =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, List<String>> eldest) {
          return size() > MAX_PREFIXES;
        }
      };

  /** Records that a request with this prefix goes to the backend. */
  void add(long prefix, String backendId) {
    List<String> recent = backends.computeIfAbsent(prefix, key -> new ArrayList<>(1));
    if (!recent.isEmpty() && recent.get(0).equals(backendId)) {
      return;
    }
    recent.remove(backendId);
    recent.add(0, backendId);
    if (recent.size() > MAX_BACKENDS_PER_PREFIX) {
      recent.remove(MAX_BACKENDS_PER_PREFIX);
    }
  }

  /** Whether the backend is among the latest for this prefix. Counts as a use of the prefix. */
  boolean contains(long prefix, String backendId) {
    List<String> recent = backends.get(prefix);
    return recent != null && recent.contains(backendId);
  }
}
