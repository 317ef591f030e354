package nettletrail.control.door;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** Which core process owns which shard, as the linked core processes say. */
final class OwnerDirectory {
  private static final long MILLIS = 1_000_000L;

  /** An address that denied owning a shard isn't asked again for so long. */
  private static final long DENIAL = 200 * MILLIS;

  private final Map<String, Statement> statements = new HashMap<>();
  private final Map<Key, Long> denials = new HashMap<>();

  private record Statement(List<String> owners, long at) {}

  private record Key(int shard, String address) {}

  /** A core process told who owns each shard. */
  void told(String core, List<String> owners, long now) {
    statements.put(core, new Statement(owners, now));
  }

  /** A core process told that what it said last still holds. */
  void confirmed(String core, long now) {
    statements.computeIfPresent(core, (name, said) -> new Statement(said.owners(), now));
  }

  /** An address that was asked doesn't own the shard. */
  void denied(int shard, String address, long now) {
    denials.put(new Key(shard, address), now);
  }

  /** A core process isn't dialled any more. */
  void forget(String core) {
    statements.remove(core);
    denials.keySet().removeIf(key -> key.address().equals(core));
  }

  /**
   * The owner to ask: one that says so itself before one that others name, the latest statement
   * first.
   */
  Optional<String> owner(int shard, Predicate<String> linked, long now) {
    String best = null;
    boolean bestSaysSo = false;
    long bestAt = 0;
    for (Map.Entry<String, Statement> entry : statements.entrySet()) {
      Statement statement = entry.getValue();
      String named = shard < statement.owners().size() ? statement.owners().get(shard) : "";
      if (named.isEmpty() || !linked.test(named) || deniedLately(shard, named, now)) {
        continue;
      }
      boolean saysSo = named.equals(entry.getKey());
      boolean later = best == null || statement.at() - bestAt > 0;
      if (saysSo && !bestSaysSo || saysSo == bestSaysSo && later) {
        best = named;
        bestSaysSo = saysSo;
        bestAt = statement.at();
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean deniedLately(int shard, String address, long now) {
    Long at = denials.get(new Key(shard, address));
    return at != null && now - at < DENIAL;
  }
}
