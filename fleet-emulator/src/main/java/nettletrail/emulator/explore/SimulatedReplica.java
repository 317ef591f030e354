package nettletrail.emulator.explore;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import nettletrail.control.ShardMap;
import nettletrail.control.shard.CoreAction;
import nettletrail.control.shard.CoreShards;
import nettletrail.control.shard.ShardSettings;
import nettletrail.control.shard.StoreOutcome;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import nettletrail.store.StoredShard;

/** One replica: the decider of its present incarnation, its pending writes and its disk. */
final class SimulatedReplica {
  private final List<String> seeds;
  private final ShardSettings settings;
  private final String address;
  private final Deque<CoreAction> writes = new ArrayDeque<>();
  private Member self;
  private ProposalNumber promised;
  private ShardVersion version;
  private int incarnations;
  private CoreShards shards;

  SimulatedReplica(Member self, List<String> seeds, ShardSettings settings, ShardVersion initial) {
    this.self = self;
    this.address = self.getAddress();
    this.seeds = seeds;
    this.settings = settings;
    this.version = initial;
  }

  String address() {
    return address;
  }

  CoreShards shards() {
    return shards;
  }

  /** Starts an incarnation from the disk; pending writes are lost. */
  void start(long now) {
    incarnations++;
    writes.clear();
    StoredShard stored = new StoredShard(promised, version, List.of());
    shards =
        new CoreShards(
            settings,
            self,
            seeds,
            false,
            1,
            Map.of(ShardMap.CONFIGURATION_SHARD, stored),
            incarnations,
            now);
  }

  /** A replica on a new machine, with an empty disk. */
  static SimulatedReplica empty(String address, List<String> seeds, ShardSettings settings) {
    return new SimulatedReplica(new Member(address + "#r", address), seeds, settings, null);
  }

  /** The disk is lost; the next incarnation has another identity. */
  void wipe() {
    wipeKeepingIdentity();
    self = new Member(address + "#r" + incarnations, address);
  }

  /** A mutant of {@link #wipe}: the identity outlives the disk. */
  void wipeKeepingIdentity() {
    promised = null;
    version = null;
  }

  /** The identity that belongs to the present disk. */
  String id() {
    return self.getId();
  }

  /** The version on disk; null if there is none. */
  ShardVersion version() {
    return version;
  }

  void write(CoreAction action) {
    writes.add(action);
  }

  boolean hasWrites() {
    return !writes.isEmpty();
  }

  /** Completes the oldest write and returns what the decider does next. */
  List<CoreAction> finishWrite(long now) {
    CoreAction action = writes.poll();
    if (action instanceof CoreAction.StorePromise promise) {
      promised = promise.proposal();
      return shards.stored(promise.ticket(), StoreOutcome.STORED, now);
    }
    CoreAction.StoreVersion stored = (CoreAction.StoreVersion) action;
    version = stored.version();
    return shards.stored(stored.ticket(), StoreOutcome.STORED, now);
  }
}
