package nettletrail.control.shard;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettletrail.protocol.Member;
import nettletrail.protocol.ShardVersion;
import nettletrail.store.StoredShard;

/** The durable state of one machine. */
final class SimulatedStorage {

  Member identity;
  private final Map<Integer, StoredShard> shards = new HashMap<>();

  Map<Integer, StoredShard> shards() {
    return Map.copyOf(shards);
  }

  /** Stores the version that shards start from, in the first ones of them. */
  void storeInitial(int shardCount, ShardVersion initial) {
    for (int shard = 0; shard < shardCount; shard++) {
      shards.put(shard, new StoredShard(null, initial, List.of()));
    }
  }

  /** Applies a complete storage action. */
  void apply(CoreAction action) {
    if (action instanceof CoreAction.StorePromise promise) {
      StoredShard before = before(promise.shard());
      shards.put(promise.shard(), new StoredShard(promise.proposal(), before.version(), List.of()));
    } else if (action instanceof CoreAction.StoreVersion version) {
      StoredShard before = before(version.shard());
      shards.put(version.shard(), new StoredShard(before.promised(), version.version(), List.of()));
    }
  }

  /** The ticket of a storage action, with which its outcome is reported. */
  static long ticket(CoreAction action) {
    return action instanceof CoreAction.StorePromise promise
        ? promise.ticket()
        : ((CoreAction.StoreVersion) action).ticket();
  }

  private StoredShard before(int shard) {
    return shards.getOrDefault(shard, new StoredShard(null, null, List.of()));
  }
}
