package nettletrail.emulator.capacity;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import nettletrail.configuration.ConfigurationException;
import nettletrail.control.CoreRegistry;
import nettletrail.control.CoreRegistrySettings;
import nettletrail.control.ShardMap;
import nettletrail.control.grant.GrantTerms;
import nettletrail.control.grant.QuotaLimit;
import nettletrail.control.host.ConfigurationReader;
import nettletrail.control.host.CoreCallers;
import nettletrail.control.host.CoreHost;
import nettletrail.control.host.CoreHostLinks;
import nettletrail.control.host.CoreStorage;
import nettletrail.control.host.QuotaLimits;
import nettletrail.control.host.ShardLeases;
import nettletrail.control.registry.RegistryAction.AnswerBackend;
import nettletrail.control.shard.CoreAction.AnswerOperator;
import nettletrail.control.shard.CoreAction.StorePromise;
import nettletrail.control.shard.CoreAction.StoreVersion;
import nettletrail.control.shard.CoreShards;
import nettletrail.control.shard.ShardSettings;
import nettletrail.control.shard.StoreOutcome;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.Backend;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import nettletrail.store.StoredShard;
import org.apache.avro.specific.SpecificRecord;

/**
 * A core process: the real shards, registry and grants, over measured links and a disk that only
 * takes time.
 */
final class MeasuredCore implements MeasuredNetwork.Endpoint {
  /** How often backends call, in milliseconds. */
  static final long HEARTBEAT_MS = 1_200;

  private static final int OK = 200;

  /** Time of a sync on a disk as the deployments' core machines have it. */
  private static final long SYNC_NS = 2 * VirtualTime.MILLISECOND;

  private static final double DISK_BYTES_PER_S = 120e6;
  private static final double SECOND = 1e9;
  private static final long TICK = CoreHost.TICK_MS * VirtualTime.MILLISECOND;
  private static final GrantTerms TERMS =
      new GrantTerms(8, 0.1, 190_000, GrantTerms.USUAL_VALID_MS);

  private final VirtualTime time;
  private final MeasuredNetwork network;
  private final MeasuredProcess process;
  private final String address;
  private final List<String> seeds;
  private final LongConsumer acknowledged;
  private final Map<Integer, StoredShard> disk = new HashMap<>();
  private boolean firstRun = true;
  private long diskFreeAt;
  private CoreShards shards;
  private CoreRegistry registry;
  private CoreHost host;

  /**
   * A core process that does not run yet.
   *
   * @param acknowledged gets the number of each operator's call that was answered with 200
   */
  MeasuredCore(
      VirtualTime time,
      MeasuredNetwork network,
      MeasuredProcess process,
      String address,
      List<String> seeds,
      LongConsumer acknowledged) {
    this.time = time;
    this.network = network;
    this.process = process;
    this.address = address;
    this.seeds = List.copyOf(seeds);
    this.acknowledged = acknowledged;
    network.add(address, this);
  }

  /** Starts an incarnation of the process with what its disk holds. */
  void start() {
    process.start();
    long incarnation = process.incarnation() * (long) ShardMap.SHARD_COUNT + address.hashCode();
    shards =
        new CoreShards(
            ShardSettings.defaults(),
            new Member(address + "#0", address),
            seeds,
            firstRun,
            ShardMap.SHARD_COUNT,
            Map.copyOf(disk),
            incarnation,
            time.now());
    firstRun = false;
    long feed = Math.abs(incarnation) + 1;
    registry =
        new CoreRegistry(
            new CoreRegistrySettings(address, FleetNames.zone(0), feed, HEARTBEAT_MS, TERMS),
            new SequenceFromZero(shards),
            time.now());
    host =
        new CoreHost(
            shards,
            registry,
            time::now,
            new MeasuredLinks(),
            new DiskTime(),
            new Callers(),
            committed -> Optional.of(limits(committed.storedDocument())));
    process.submit(this::tick);
  }

  /** Ends the process; its disk remains. */
  void kill() {
    process.end();
    network.ended(address);
  }

  /** Ends the process and releases its memory. */
  void release() {
    process.end();
    shards = null;
    registry = null;
    host = null;
    disk.clear();
  }

  String address() {
    return address;
  }

  CoreRegistry registry() {
    return registry;
  }

  @Override
  public MeasuredProcess process() {
    return process;
  }

  /** A step: the operator calls this process. */
  void order(long call, String method, String ifMatch, byte[] body) {
    host.operatorCall(call, method, ifMatch, body);
  }

  /** A step: a backend calls this process. */
  void backendCalls(long call, Backend backend) {
    host.backendCall(call, "PUT", backend);
  }

  /** Whether this process may act as the owner of a shard now. */
  boolean owns(int shard) {
    return shards.owns(shard, time.now());
  }

  private void tick() {
    host.tick();
    process.after(TICK, this::tick);
  }

  /** The limits of all tenants that a valid document names, given as it is stored and sent. */
  static Map<String, QuotaLimit> limits(ByteBuffer storedDocument) {
    try {
      return QuotaLimits.of(new ConfigurationReader().compile(storedDocument).tenants());
    } catch (ConfigurationException invalid) {
      throw new IllegalStateException("an invalid configuration was committed", invalid);
    }
  }

  // Links

  @Override
  public void up(String peer, boolean peerIsDoor) {
    if (peerIsDoor) {
      host.doorUp(peer);
    } else {
      host.coreUp(peer);
    }
  }

  @Override
  public void down(String peer, boolean peerIsDoor) {
    if (peerIsDoor) {
      host.doorDown(peer);
    } else {
      host.coreDown(peer);
    }
  }

  @Override
  public void received(String peer, boolean peerIsDoor, SpecificRecord message) {
    if (peerIsDoor) {
      host.receivedFromDoor(peer, message);
    } else {
      host.receivedFromCore(peer, message);
    }
  }

  @Override
  public boolean isDoor() {
    return false;
  }

  @Override
  public Set<String> dialled() {
    Set<String> others = new HashSet<>(seeds);
    others.remove(address);
    return others;
  }

  /** Links to the seeds, which are the members throughout a measurement. */
  private final class MeasuredLinks implements CoreHostLinks {
    /** Sends also what is not valid any more: no time passes between a decision and its sending. */
    @Override
    public void sendToCore(String peer, SpecificRecord message, long validUntil) {
      network.send(address, peer, message);
    }

    @Override
    public void sendToDoor(String door, SpecificRecord message) {
      network.send(address, door, message);
    }

    /** Two processes have one link at most, and the host is notified only after it is down. */
    @Override
    public boolean isUp(String peer) {
      return false;
    }

    @Override
    public void coreLinkUp(String peer) {}

    @Override
    public void followMembers(List<Member> members) {}
  }

  /** A disk that holds what was written to it and takes the time of a real one. */
  private final class DiskTime implements CoreStorage {
    @Override
    public void store(StorePromise promise, Consumer<StoreOutcome> done) {
      write(
          0,
          () -> {
            ShardVersion version = stored(promise.shard()).version();
            disk.put(promise.shard(), new StoredShard(promise.proposal(), version, List.of()));
            done.accept(StoreOutcome.STORED);
          });
    }

    @Override
    public void store(StoreVersion store, Consumer<StoreOutcome> done) {
      ShardVersion version = store.version();
      write(
          version.getValue().remaining(),
          () -> {
            ProposalNumber promised = stored(store.shard()).promised();
            disk.put(store.shard(), new StoredShard(promised, version, List.of()));
            done.accept(StoreOutcome.STORED);
          });
    }

    private StoredShard stored(int shard) {
      return disk.getOrDefault(shard, new StoredShard(null, null, List.of()));
    }

    private void write(int bytes, Runnable done) {
      long takes = SYNC_NS + (long) (bytes * SECOND / DISK_BYTES_PER_S);
      diskFreeAt = Math.max(diskFreeAt, time.now()) + takes;
      process.after(diskFreeAt - time.now(), done);
    }
  }

  /** Passes the acknowledgements of operators' calls on; backends read no answers. */
  private final class Callers implements CoreCallers {
    @Override
    public void answerOperator(AnswerOperator answer) {
      if (answer.status() == OK) {
        acknowledged.accept(answer.call());
      }
    }

    @Override
    public void answerBackend(AnswerBackend answer) {}
  }

  /**
   * Gives 0 for the sequence before the first configuration, where {@link ShardLeases} gives -1.
   */
  private final class SequenceFromZero extends ShardLeases {
    SequenceFromZero(CoreShards shards) {
      super(shards, time::now);
    }

    @Override
    public long configurationSequence() {
      return Math.max(0, super.configurationSequence());
    }
  }
}
