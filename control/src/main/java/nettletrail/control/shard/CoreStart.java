package nettletrail.control.shard;

import java.util.List;
import java.util.Map;
import nettletrail.protocol.Member;
import nettletrail.store.StoredShard;

/**
 * The initial state of a core process.
 *
 * @param self identity and address of this process
 * @param seedAddresses where other core processes may be found; at the first run the founding group
 * @param firstRun true only at the first start of the whole system
 * @param shardCount how many shards there are, the configuration's included
 * @param stored the replicas' states on disk by shard; a missing shard has none
 */
record CoreStart(
    Member self,
    List<String> seedAddresses,
    boolean firstRun,
    int shardCount,
    Map<Integer, StoredShard> stored) {

  /** The state on disk of a shard's replica; empty if there is none. */
  StoredShard storedShard(int shard) {
    return stored.getOrDefault(shard, new StoredShard(null, null, List.of()));
  }
}
