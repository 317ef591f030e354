package nettletrail.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;

/**
 * Everything that a core process keeps on its disk: its identity and one {@link VersionStore} a
 * shard. Blocking; one thread at a time.
 */
public final class CoreStore {

  private final Member self;
  private final List<VersionStore> stores;
  private final Map<Integer, StoredShard> stored;

  private CoreStore(Member self, List<VersionStore> stores, Map<Integer, StoredShard> stored) {
    this.self = self;
    this.stores = stores;
    this.stored = stored;
  }

  /**
   * Opens the disk. If a file that had been durable is damaged, promises may be forgotten, so the
   * process takes a fresh identity and its votes of before no longer count.
   *
   * @param address where peers dial this process
   * @param firstRun true only at the first start of the whole system
   * @param random 64 random bits, used where a fresh identity is needed
   */
  public static CoreStore open(
      Directory directory, String address, boolean firstRun, int shardCount, long random)
      throws StorageException {
    List<VersionStore> stores = new ArrayList<>();
    Map<Integer, StoredShard> stored = new HashMap<>();
    boolean damaged = false;
    for (int shard = 0; shard < shardCount; shard++) {
      VersionStore store = new VersionStore(directory.subdirectory("shard-" + shard));
      StoredShard content = store.load();
      stores.add(store);
      stored.put(shard, content);
      damaged |= !content.damaged().isEmpty();
    }
    if (!damaged) {
      Member self = NodeIdentity.loadOrCreate(directory, address, firstRun, random);
      return new CoreStore(self, stores, stored);
    }
    Member self = NodeIdentity.replace(directory, address, random);
    for (int shard = 0; shard < shardCount; shard++) {
      stores.get(shard).discard(stored.get(shard).damaged());
    }
    return new CoreStore(self, stores, stored);
  }

  /** This process as a member: its identity and address. */
  public Member self() {
    return self;
  }

  /** What was on the disk when it was opened, by shard; names the damaged files. */
  public Map<Integer, StoredShard> stored() {
    return Map.copyOf(stored);
  }

  /** The versions of a shard that are on disk, the oldest first; for operators. */
  public List<ShardVersion> versions(int shard) throws StorageException {
    return stores.get(shard).versions();
  }

  /** Makes a promise durable. */
  public void storePromise(int shard, ProposalNumber proposal) throws StorageException {
    stores.get(shard).storePromise(proposal);
  }

  /** Makes a version durable. */
  public void storeVersion(int shard, ShardVersion version) throws StorageException {
    stores.get(shard).storeVersion(version);
  }
}
