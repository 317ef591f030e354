package nettletrail.emulator.explore;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import nettletrail.control.shard.CoreAction;
import nettletrail.control.shard.CoreShards;
import nettletrail.control.shard.ShardSettings;
import nettletrail.control.shard.StoreOutcome;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import nettletrail.store.StoredShard;

/**
 * One replica: the decider of its present life, the writes that are under way, and what its disk
 * holds.
 */
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

  /** Starts a life with what the disk holds; writes under way are lost. */
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
            Map.of(CoreShards.CONFIGURATION_SHARD, stored),
            incarnations,
            now);
  }

  /** A replica on a new machine, with an empty disk. */
  static SimulatedReplica empty(String address, List<String> seeds, ShardSettings settings) {
    return new SimulatedReplica(new Member(address + "#r", address), seeds, settings, null);
  }

  /**
   * The disk is lost; the next life has another identity, unless a defect is planted that keeps it.
   */
  void wipe(boolean keepsIdentity) {
    promised = null;
    version = null;
    if (!keepsIdentity) {
      self = new Member(address + "#r" + incarnations, address);
    }
  }

  /** The identity of its present disk. */
  String id() {
    return self.getId();
  }

  /** What its disk holds; null if that is nothing. */
  ShardVersion version() {
    return version;
  }

  void write(CoreAction action) {
    writes.add(action);
  }

  boolean hasWrites() {
    return !writes.isEmpty();
  }

  /** The oldest write takes effect; returns what follows. */
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
