package nettletrail.control.door;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Which core process owns which shard, from the directories of all core processes. Instants are
 * nanoseconds of the steady clock.
 */
final class OwnerDirectory {
  /** An address that denied owning a shard isn't returned for it again for so long. */
  private static final long DENIAL_EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final Map<String, OwnerList> listsByCore = new HashMap<>();
  private final Map<ShardOwner, Long> deniedAt = new HashMap<>();

  /** The owner's address for each shard, empty where unknown, as of an instant. */
  private record OwnerList(List<String> owners, long confirmedAt) {
    String owner(int shard) {
      return shard < owners.size() ? owners.get(shard) : "";
    }
  }

  private record ShardOwner(int shard, String address) {}

  /** A core process sent its list of owners. */
  void ownersChanged(String core, List<String> owners, long now) {
    listsByCore.put(core, new OwnerList(owners, now));
  }

  /** A core process confirmed that its last list is still the current one. */
  void ownersUnchanged(String core, long now) {
    listsByCore.computeIfPresent(core, (name, list) -> new OwnerList(list.owners(), now));
  }

  /** The core process at this address answered that it doesn't own the shard. */
  void denied(int shard, String address, long now) {
    deniedAt.put(new ShardOwner(shard, address), now);
  }

  /** A core process isn't dialled any more. */
  void remove(String core) {
    listsByCore.remove(core);
    deniedAt.keySet().removeIf(key -> key.address().equals(core));
  }

  /**
   * The likely owner of a shard. A core process that claims the shard itself comes before one that
   * others give as the owner; of several, the one confirmed last.
   *
   * @param linked whether the link to an address is up; others aren't returned
   */
  Optional<String> owner(int shard, Predicate<String> linked, long now) {
    String best = null;
    boolean bestIsClaim = false;
    long bestConfirmedAt = 0;
    for (Map.Entry<String, OwnerList> entry : listsByCore.entrySet()) {
      OwnerList list = entry.getValue();
      String owner = list.owner(shard);
      if (owner.isEmpty() || !linked.test(owner) || isDenied(shard, owner, now)) {
        continue;
      }
      boolean isClaim = owner.equals(entry.getKey());
      boolean isLater = best == null || list.confirmedAt() - bestConfirmedAt > 0;
      if (isClaim && !bestIsClaim || isClaim == bestIsClaim && isLater) {
        best = owner;
        bestIsClaim = isClaim;
        bestConfirmedAt = list.confirmedAt();
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean isDenied(int shard, String address, long now) {
    Long at = deniedAt.get(new ShardOwner(shard, address));
    return at != null && now - at < DENIAL_EXPIRY_NANOS;
  }
}
