package nettletrail.emulator.host;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import nettletrail.configuration.RoutingTable;
import nettletrail.control.CoreRegistry;
import nettletrail.control.CoreRegistrySettings;
import nettletrail.control.ShardMap;
import nettletrail.control.ShardOwnership;
import nettletrail.control.grant.GrantTerms;
import nettletrail.control.registry.RegistryAction;
import nettletrail.control.shard.CoreAction;
import nettletrail.control.shard.CoreShards;
import nettletrail.control.shard.ReplicaGroup;
import nettletrail.control.shard.ShardSettings;
import nettletrail.control.shard.StoreOutcome;
import nettletrail.emulator.link.SimulatedLinks;
import nettletrail.emulator.simulation.Connection;
import nettletrail.emulator.simulation.Machine;
import nettletrail.emulator.simulation.Payload;
import nettletrail.emulator.simulation.SimulatedDirectory;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.Accept;
import nettletrail.protocol.GrantReply;
import nettletrail.protocol.Hello;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.link.LinkListener;
import nettletrail.protocol.link.LinkSettings;
import nettletrail.protocol.link.Peer;
import nettletrail.store.CoreStore;
import nettletrail.store.StorageException;
import org.apache.avro.specific.SpecificRecord;

/**
 * One life of a core process: {@link CoreShards} and {@link CoreRegistry} over simulated links,
 * disk and clock.
 */
public final class CoreProcess implements LinkListener, ShardOwnership {
  /** The port of the links between processes. */
  public static final String LINK_PORT = ":7680";

  /** The port that takes calls of operators and backends. */
  public static final String CONTROL_PORT = ":8665";

  private static final String ROLE = "core";
  private static final int PROTOCOL_VERSION = 2;
  private static final long TICK = 50 * VirtualTime.MILLISECOND;

  private final Simulation simulation;
  private final Machine.Incarnation incarnation;
  private final SplittableRandom random;
  private final CoreObserver observer;
  private final List<String> seeds;
  private final CoreStore store;
  private final StorageQueue storage;
  private final Map<Long, Connection> callers = new HashMap<>();
  private long lastCall;
  private SimulatedLinks links;
  private CoreShards shards;
  private CoreRegistry registry;

  /**
   * Opens the disk; the process works once that is done.
   *
   * @param seeds addresses of links to begin with
   * @param firstRun true only at the first start of the whole fleet
   * @param heartbeatMillis how often backends call
   * @throws StorageException if the disk can't be read or the identity can't be written
   */
  public CoreProcess(
      Simulation simulation,
      Machine.Incarnation incarnation,
      List<String> seeds,
      boolean firstRun,
      long heartbeatMillis,
      GrantTerms grantTerms,
      CoreObserver observer)
      throws StorageException {
    this.simulation = simulation;
    this.incarnation = incarnation;
    this.random = simulation.newRandom();
    this.observer = observer;
    this.seeds = List.copyOf(seeds);
    this.storage = new StorageQueue(simulation.time(), incarnation);
    this.store =
        CoreStore.open(
            new SimulatedDirectory(incarnation.machine().disk()),
            linkAddress(),
            firstRun,
            ShardMap.SHARD_COUNT,
            random.nextLong());
    CoreRegistrySettings registrySettings =
        new CoreRegistrySettings(
            linkAddress(),
            "zone-" + incarnation.machine().name(),
            1 + random.nextLong(Long.MAX_VALUE - 1),
            heartbeatMillis,
            grantTerms);
    long opened = incarnation.machine().disk().busyUntil();
    simulation.time().at(opened, () -> incarnation.run(() -> begin(firstRun, registrySettings)));
  }

  private void begin(boolean firstRun, CoreRegistrySettings registrySettings) {
    Member self = store.self();
    shards =
        new CoreShards(
            ShardSettings.defaults(),
            self,
            seeds,
            firstRun,
            ShardMap.SHARD_COUNT,
            store.stored(),
            random.nextLong(),
            now());
    registry = new CoreRegistry(registrySettings, this, now());
    Hello hello =
        new Hello(
            incarnation.machine().name(),
            self.getAddress(),
            ROLE,
            random.nextLong(),
            PROTOCOL_VERSION);
    links =
        new SimulatedLinks(
            simulation, incarnation, LinkSettings.defaults(), hello, this, random.split());
    seeds.forEach(links::dial);
    simulation.network().listen(incarnation, controlAddress(), this::acceptCaller);
    tick();
  }

  // What others see

  /** The machine's life in which this process runs. */
  public Machine.Incarnation incarnation() {
    return incarnation;
  }

  /** Name of the machine and count of its lives. */
  public String name() {
    return incarnation.machine().name() + "/" + incarnation.number();
  }

  /** Where other processes dial this one. */
  public String linkAddress() {
    return incarnation.machine().host() + LINK_PORT;
  }

  /** Where operators and backends call. */
  public String controlAddress() {
    return incarnation.machine().host() + CONTROL_PORT;
  }

  /** True once the disk was read. */
  public boolean hasBegun() {
    return shards != null;
  }

  /** True while the process would act as a shard's owner, if it ran now. */
  public boolean ownsNow(int shard) {
    return hasBegun() && incarnation.isAlive() && shards.owns(shard, now());
  }

  /** The members of the configuration shard as this process knows them. */
  public List<Member> knownMembers() {
    return hasBegun() ? shards.members() : List.of();
  }

  /** This process as a member. */
  public Member self() {
    return store.self();
  }

  /** The process is told to end: it gives its leases back. It has to be ended afterwards. */
  public void release() {
    if (hasBegun()) {
      run(shards.release(now()));
    }
  }

  // Links

  @Override
  public void up(Peer peer) {
    if (isDoor(peer)) {
      perform(registry.doorUp(peer.key(), now()));
      return;
    }
    links.dial(peer.key());
    perform(registry.coreUp(peer.key(), now()));
  }

  @Override
  public void down(Peer peer) {
    if (links.isUp(peer.key())) {
      return;
    }
    if (isDoor(peer)) {
      perform(registry.doorDown(peer.key(), now()));
    } else {
      perform(registry.coreDown(peer.key(), now()));
    }
  }

  @Override
  public void received(Peer peer, SpecificRecord message) {
    if (isDoor(peer)) {
      perform(registry.receiveFromDoor(peer.key(), message, now()));
    } else {
      run(shards.receive(peer.key(), message, now()));
      perform(registry.receiveFromCore(peer.key(), message, now()));
    }
    observer.stepped(this);
  }

  private static boolean isDoor(Peer peer) {
    return peer.role().equals(SimulatedLinks.DOOR_ROLE);
  }

  // Calls

  private void acceptCaller(Connection connection) {
    connection.setListener(
        new Connection.Listener() {
          @Override
          public void received(Payload payload) {
            call(connection, (ControlRequest) payload);
          }

          @Override
          public void closed() {
            callers.values().remove(connection);
          }
        });
  }

  private void call(Connection connection, ControlRequest request) {
    lastCall++;
    callers.put(lastCall, connection);
    if (request instanceof ControlRequest.Configuration configuration) {
      byte[] body = configuration.body().getBytes(StandardCharsets.UTF_8);
      run(shards.submit(lastCall, configuration.method(), configuration.ifMatch(), body, now()));
    } else if (request instanceof ControlRequest.Registration registration) {
      perform(registry.backendCall(lastCall, registration.method(), registration.backend(), now()));
    }
    observer.stepped(this);
  }

  private void answer(long call, int status, String body) {
    Connection caller = callers.remove(call);
    if (caller != null) {
      caller.send(new ControlResponse(status, body));
    }
  }

  // Work

  private void tick() {
    run(shards.tick(now()));
    perform(registry.tick(now()));
    shards.members().forEach(member -> links.dial(member.getAddress()));
    observer.stepped(this);
    incarnation.after(TICK, this::tick);
  }

  private void run(List<CoreAction> actions) {
    for (CoreAction action : actions) {
      if (action instanceof CoreAction.Send send) {
        send(send);
      } else if (action instanceof CoreAction.StorePromise promise) {
        storage.submit(
            () -> store.storePromise(promise.shard(), promise.proposal()),
            outcome -> stored(promise.ticket(), outcome));
      } else if (action instanceof CoreAction.StoreVersion version) {
        storage.submit(
            () -> store.storeVersion(version.shard(), version.version()),
            outcome -> stored(version.ticket(), outcome));
      } else if (action instanceof CoreAction.AnswerOperator answer) {
        answer(answer.call(), answer.status(), new String(answer.body(), StandardCharsets.UTF_8));
      } else if (action instanceof CoreAction.CommittedConfiguration committed) {
        committed(committed);
      }
    }
  }

  private void send(CoreAction.Send send) {
    if (send.message() instanceof Accept accept) {
      observer.accepting(this, accept);
    }
    links.send(send.address(), send.message());
  }

  private void stored(long ticket, StoreOutcome outcome) {
    run(shards.stored(ticket, outcome, now()));
    observer.stepped(this);
  }

  private void committed(CoreAction.CommittedConfiguration committed) {
    RoutingTable table = QuotaLimits.table(committed.document());
    perform(
        registry.configuration(
            committed.sequence(),
            committed.edition(),
            committed.storedDocument(),
            QuotaLimits.of(table),
            now()));
  }

  private void perform(List<RegistryAction> actions) {
    for (RegistryAction action : actions) {
      if (action instanceof RegistryAction.SendToCore send) {
        links.send(send.address(), send.message());
      } else if (action instanceof RegistryAction.SendToDoor send) {
        if (send.message() instanceof GrantReply reply) {
          observer.granting(this, reply);
        }
        links.send(send.door(), send.message());
      } else if (action instanceof RegistryAction.AnswerBackend answer) {
        answer(answer.call(), answer.status(), "");
      }
    }
  }

  private long now() {
    return incarnation.machine().clock().steady();
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
    return shards.ownerAddress(shard, now());
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
    return shards.committedSequence();
  }
}
