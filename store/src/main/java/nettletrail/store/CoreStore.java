package nettletrail.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettletrail.protocol.Backend;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;

/**
 * The durable state of a core process: its identity, one {@link VersionStore} a shard, and the
 * backends that are draining or deregistered. Blocking; one thread at a time.
 */
public final class CoreStore {

  private final Directory directory;
  private final Member self;
  private final boolean firstStart;
  private final List<VersionStore> stores;
  private final Map<Integer, StoredShard> storedShards;
  private final List<Backend> withdrawals;
  private final String withdrawalDamage;

  private CoreStore(
      Directory directory,
      Member self,
      boolean firstStart,
      List<VersionStore> stores,
      Map<Integer, StoredShard> storedShards)
      throws StorageException {
    this.directory = directory;
    this.self = self;
    this.firstStart = firstStart;
    this.stores = stores;
    this.storedShards = storedShards;
    List<Backend> readable = List.of();
    String damage = "";
    try {
      readable = WithdrawalFile.read(directory);
    } catch (StorageException failure) {
      failure.requireDamage();
      damage = failure.getMessage();
    }
    this.withdrawals = readable;
    this.withdrawalDamage = damage;
  }

  /** Opens the disk of a process that founds nothing; as the other method of this name. */
  public static CoreStore open(
      Directory directory, String address, boolean firstRun, int shardCount, long random)
      throws StorageException {
    return open(directory, address, firstRun, shardCount, random, null);
  }

  /**
   * Opens the disk. If a file that had been durable is damaged, promises may be lost, so the
   * process takes a fresh identity and its earlier votes no longer count. Damaged withdrawals are
   * as lost ones: other disks have them.
   *
   * @param address where peers dial this process
   * @param firstRun true only at the first start of the system, on empty disks
   * @param shardCount how many shards the system has; at least 1
   * @param random 64 random bits, used where a fresh identity is needed
   * @param initial the version that all shards start from; at the first start it is made durable
   *     before the identity, if it names this process, so that a founder's disk has either both or
   *     no founder's identity; null if this process founds nothing
   * @throws StorageException if the disk fails; damaged files don't throw
   */
  public static CoreStore open(
      Directory directory,
      String address,
      boolean firstRun,
      int shardCount,
      long random,
      ShardVersion initial)
      throws StorageException {
    List<VersionStore> stores = new ArrayList<>();
    Map<Integer, StoredShard> storedShards = new HashMap<>();
    for (int shard = 0; shard < shardCount; shard++) {
      VersionStore store = new VersionStore(directory.subdirectory(StateLayout.shardFolder(shard)));
      stores.add(store);
      storedShards.put(shard, store.load());
    }
    boolean firstStart = firstRun && !NodeIdentity.exists(directory);
    if (firstStart
        && initial != null
        && initial.getMembers().contains(NodeIdentity.founding(address))) {
      storeInitial(initial, stores, storedShards);
    }
    Member self =
        hasDamage(storedShards)
            ? replaceIdentity(directory, address, random, stores, storedShards)
            : NodeIdentity.loadOrCreate(directory, address, firstRun, random);
    WithdrawalFile.removeUnfinished(directory);
    return new CoreStore(directory, self, firstStart, stores, storedShards);
  }

  private static void storeInitial(
      ShardVersion initial, List<VersionStore> stores, Map<Integer, StoredShard> storedShards)
      throws StorageException {
    for (int shard = 0; shard < stores.size(); shard++) {
      if (storedShards.get(shard).isEmpty()) {
        stores.get(shard).storeVersion(initial);
        storedShards.put(shard, new StoredShard(null, initial, List.of()));
      }
    }
  }

  private static boolean hasDamage(Map<Integer, StoredShard> storedShards) {
    return storedShards.values().stream().anyMatch(shard -> !shard.damagedFiles().isEmpty());
  }

  /** Makes the fresh identity durable before the evidence of the damage is removed. */
  private static Member replaceIdentity(
      Directory directory,
      String address,
      long random,
      List<VersionStore> stores,
      Map<Integer, StoredShard> storedShards)
      throws StorageException {
    Member self = NodeIdentity.replace(directory, address, random);
    for (int shard = 0; shard < stores.size(); shard++) {
      stores.get(shard).discard(storedShards.get(shard).damagedFiles());
    }
    return self;
  }

  /** This process as a member: its identity and address. */
  public Member self() {
    return self;
  }

  /** True if this was opened at the first start of the system, on a disk without an identity. */
  public boolean isFirstStart() {
    return firstStart;
  }

  /** The state on the disk as it was opened, by shard number, with the names of damaged files. */
  public Map<Integer, StoredShard> storedShards() {
    return Map.copyOf(storedShards);
  }

  /** The readable versions of a shard on disk, the oldest first; for operators. */
  public List<ShardVersion> versions(int shard) throws StorageException {
    return stores.get(shard).versions();
  }

  /** The withdrawn backends on the disk as it was opened; empty if their file is damaged. */
  public List<Backend> withdrawals() {
    return withdrawals;
  }

  /** Why the withdrawn backends could not be read when the disk was opened; empty if they could. */
  public String withdrawalDamage() {
    return withdrawalDamage;
  }

  /** Makes the highest promised proposal number of a shard durable. */
  public void storePromise(int shard, ProposalNumber proposal) throws StorageException {
    stores.get(shard).storePromise(proposal);
  }

  /** Makes an accepted version of a shard durable. */
  public void storeVersion(int shard, ShardVersion version) throws StorageException {
    stores.get(shard).storeVersion(version);
  }

  /** Replaces the withdrawn backends on the disk, durably. */
  public void storeWithdrawals(List<Backend> withdrawn) throws StorageException {
    WithdrawalFile.write(directory, withdrawn);
  }
}
