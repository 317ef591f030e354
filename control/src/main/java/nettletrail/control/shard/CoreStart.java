package nettletrail.control.shard;

import java.util.List;
import java.util.Map;
import nettletrail.protocol.Member;
import nettletrail.store.StoredShard;

/**
 * What a core process knows when it starts.
 *
 * @param self identity and address of this process
 * @param seedAddresses where other core processes may be found; at the first run the founding group
 * @param firstRun true only at the first start of the whole system
 * @param shardCount how many shards there are, the configuration's included
 * @param stored what the disk holds, by shard; a shard that is missing has nothing
 */
record CoreStart(
    Member self,
    List<String> seedAddresses,
    boolean firstRun,
    int shardCount,
    Map<Integer, StoredShard> stored) {

  StoredShard shard(int shard) {
    return stored.getOrDefault(shard, new StoredShard(null, null, List.of()));
  }
}
