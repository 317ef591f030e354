package nettletrail.emulator.capacity;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongConsumer;
import nettletrail.configuration.CompressedDocument;
import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;
import nettletrail.configuration.RoutingTable;
import nettletrail.configuration.Tenant;
import nettletrail.control.CoreRegistry;
import nettletrail.control.CoreRegistrySettings;
import nettletrail.control.ShardMap;
import nettletrail.control.ShardOwnership;
import nettletrail.control.grant.GrantTerms;
import nettletrail.control.grant.QuotaLimit;
import nettletrail.control.registry.RegistryAction;
import nettletrail.control.shard.CoreAction;
import nettletrail.control.shard.CoreShards;
import nettletrail.control.shard.ReplicaGroup;
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
final class CoreNode implements MeasuredNetwork.Endpoint, ShardOwnership {
  /** How often backends call, in milliseconds. */
  static final long HEARTBEAT_MS = 1_200;

  /** A disk as the deployments' core machines have it. */
  private static final long SYNC_NS = 2 * VirtualTime.MILLISECOND;

  private static final double DISK_BYTES_PER_S = 120e6;
  private static final double SECOND = 1e9;
  private static final long TICK = 50 * VirtualTime.MILLISECOND;
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

  /** {@code acknowledged}: told the number of an operator's call that was answered with 200. */
  CoreNode(
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

  /** Starts a life of the process with what its disk holds. */
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
            this,
            time.now());
    process.submit(this::tick);
  }

  /** Ends the process; its disk remains. */
  void kill() {
    process.end();
    network.ended(address);
  }

  /** Ends the process and lets go of its memory. */
  void release() {
    process.end();
    shards = null;
    registry = null;
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
    perform(shards.submit(call, method, ifMatch, body, time.now()));
  }

  /** A step: a backend calls this process. */
  void backendCalls(long call, Backend backend) {
    registryActions(registry.backendCall(call, "PUT", backend, time.now()));
  }

  private void tick() {
    perform(shards.tick(time.now()));
    registryActions(registry.tick(time.now()));
    process.after(TICK, this::tick);
  }

  private void perform(List<CoreAction> actions) {
    for (CoreAction action : actions) {
      if (action instanceof CoreAction.Send send) {
        network.send(address, send.address(), send.message());
      } else if (action instanceof CoreAction.StorePromise store) {
        storePromise(store);
      } else if (action instanceof CoreAction.StoreVersion store) {
        storeVersion(store);
      } else if (action instanceof CoreAction.CommittedConfiguration committed) {
        committed(committed);
      } else if (action instanceof CoreAction.AnswerOperator answer && answer.status() == 200) {
        acknowledged.accept(answer.call());
      }
    }
  }

  private void storePromise(CoreAction.StorePromise store) {
    write(
        0,
        () -> {
          StoredShard held = held(store.shard());
          disk.put(store.shard(), new StoredShard(store.proposal(), held.version(), List.of()));
          perform(shards.stored(store.ticket(), StoreOutcome.STORED, time.now()));
        });
  }

  private void storeVersion(CoreAction.StoreVersion store) {
    ShardVersion version = store.version();
    write(
        version.getValue().remaining(),
        () -> {
          ProposalNumber promised = held(store.shard()).promised();
          disk.put(store.shard(), new StoredShard(promised, version, List.of()));
          perform(shards.stored(store.ticket(), StoreOutcome.STORED, time.now()));
        });
  }

  private StoredShard held(int shard) {
    return disk.getOrDefault(shard, new StoredShard(null, null, List.of()));
  }

  private void write(int bytes, Runnable done) {
    long takes = SYNC_NS + (long) (bytes * SECOND / DISK_BYTES_PER_S);
    diskFreeAt = Math.max(diskFreeAt, time.now()) + takes;
    process.after(diskFreeAt - time.now(), done);
  }

  private void committed(CoreAction.CommittedConfiguration committed) {
    Map<String, QuotaLimit> limits = limits(committed.storedDocument());
    registryActions(
        registry.configuration(
            committed.sequence(),
            committed.edition(),
            committed.storedDocument(),
            limits,
            time.now()));
  }

  /** The limits of all tenants that a valid document names, given as it is stored and sent. */
  static Map<String, QuotaLimit> limits(ByteBuffer storedDocument) {
    try {
      byte[] document = CompressedDocument.decompress(storedDocument);
      RoutingTable table = RoutingTable.compile(ConfigurationDocument.parse(document));
      Map<String, QuotaLimit> limits = new HashMap<>();
      for (Tenant tenant : table.tenants()) {
        limits.put(tenant.name(), new QuotaLimit(tenant.ratePerSecond(), tenant.burst()));
      }
      return limits;
    } catch (ConfigurationException e) {
      throw new IllegalStateException("an invalid configuration was committed", e);
    }
  }

  private void registryActions(List<RegistryAction> actions) {
    for (RegistryAction action : actions) {
      if (action instanceof RegistryAction.SendToCore send) {
        network.send(address, send.address(), send.message());
      } else if (action instanceof RegistryAction.SendToDoor send) {
        network.send(address, send.door(), send.message());
      }
    }
  }

  // Links

  @Override
  public void up(String peer, boolean peerIsDoor) {
    long now = time.now();
    registryActions(peerIsDoor ? registry.doorUp(peer, now) : registry.coreUp(peer, now));
  }

  @Override
  public void down(String peer, boolean peerIsDoor) {
    long now = time.now();
    registryActions(peerIsDoor ? registry.doorDown(peer, now) : registry.coreDown(peer, now));
  }

  @Override
  public void received(String peer, boolean peerIsDoor, SpecificRecord message) {
    if (peerIsDoor) {
      registryActions(registry.receiveFromDoor(peer, message, time.now()));
    } else {
      perform(shards.receive(peer, message, time.now()));
      registryActions(registry.receiveFromCore(peer, message, time.now()));
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

  // What the registry asks of the shards

  @Override
  public boolean owns(int shard, long now) {
    return shards.owns(shard, now);
  }

  @Override
  public ProposalNumber token(int shard) {
    return shards.token(shard);
  }

  @Override
  public String ownerAddress(int shard) {
    return shards.ownerAddress(shard, time.now());
  }

  @Override
  public List<Member> members() {
    return shards.members();
  }

  @Override
  public int shardCount() {
    return ShardMap.SHARD_COUNT;
  }

  @Override
  public OptionalLong confirmedAt() {
    long confirmedAt = shards.confirmedAt();
    return confirmedAt == ReplicaGroup.NEVER ? OptionalLong.empty() : OptionalLong.of(confirmedAt);
  }

  @Override
  public long configurationSequence() {
    return Math.max(0, shards.committedSequence());
  }
}
