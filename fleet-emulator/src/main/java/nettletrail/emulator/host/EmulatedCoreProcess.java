package nettletrail.emulator.host;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import nettletrail.control.CoreRegistry;
import nettletrail.control.CoreRegistrySettings;
import nettletrail.control.ShardMap;
import nettletrail.control.grant.GrantTerms;
import nettletrail.control.grant.QuotaLimit;
import nettletrail.control.host.CoreHost;
import nettletrail.control.host.CoreHostLinks;
import nettletrail.control.host.CoreStorage;
import nettletrail.control.host.QuotaLimits;
import nettletrail.control.host.ShardLeases;
import nettletrail.control.registry.RegistryAction.StoreWithdrawals;
import nettletrail.control.shard.Bootstrap;
import nettletrail.control.shard.CoreAction.CommittedConfiguration;
import nettletrail.control.shard.CoreAction.StorePromise;
import nettletrail.control.shard.CoreAction.StoreVersion;
import nettletrail.control.shard.CoreShards;
import nettletrail.control.shard.ShardSettings;
import nettletrail.control.shard.StoreOutcome;
import nettletrail.emulator.link.SimulatedLinks;
import nettletrail.emulator.simulation.SimulatedDirectory;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.Accept;
import nettletrail.protocol.GrantReply;
import nettletrail.protocol.Hello;
import nettletrail.protocol.Member;
import nettletrail.protocol.link.HelloMessages;
import nettletrail.protocol.link.LinkListener;
import nettletrail.protocol.link.LinkSettings;
import nettletrail.protocol.link.Peer;
import nettletrail.store.CoreStore;
import nettletrail.store.StorageException;
import org.apache.avro.specific.SpecificRecord;

/**
 * One incarnation of a core process: a {@link CoreHost} over simulated links, disk and clock. All
 * calls come within steps of the incarnation.
 */
public final class EmulatedCoreProcess implements LinkListener {
  /** The port of the links between processes. */
  public static final String LINK_PORT = ":7680";

  /** The port that takes calls of operators and backends. */
  public static final String CONTROL_PORT = ":8665";

  private static final long TICK = CoreHost.TICK_MS * VirtualTime.MILLISECOND;

  /** How many ticks a graceful shutdown waits to leave the replica groups: a second. */
  private static final int LEAVE_TICKS = 20;

  private final Simulation simulation;
  private final SimulatedMachine.Incarnation incarnation;
  private final SplittableRandom random;
  private final CoreObserver observer;
  private final List<String> seeds;
  private final CoreStore store;
  private final StorageQueue storageQueue;
  private final SendQueue sendQueue;
  private final SimulatedCallers callers;
  private SimulatedLinks links;
  private CoreShards shards;
  private CoreHost host;

  /**
   * Opens the disk; the process begins to work once the disk has been read.
   *
   * @param seeds addresses that are dialled at the start
   * @param firstRun true only at the first start of the complete fleet
   * @param heartbeatMillis how often backends call, in milliseconds
   * @throws StorageException if the disk can't be read or the identity can't be written
   */
  public EmulatedCoreProcess(
      Simulation simulation,
      SimulatedMachine.Incarnation incarnation,
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
    this.storageQueue = new StorageQueue(simulation.time(), incarnation);
    this.sendQueue = new SendQueue(incarnation, this::now);
    this.callers = new SimulatedCallers(this::call, sendQueue);
    this.store =
        CoreStore.open(
            new SimulatedDirectory(incarnation.machine().disk()),
            linkAddress(),
            firstRun,
            ShardMap.SHARD_COUNT,
            random.nextLong(),
            Bootstrap.initialVersion(seeds));
    CoreRegistrySettings registrySettings =
        new CoreRegistrySettings(
            linkAddress(),
            "zone-" + incarnation.machine().name(),
            1 + random.nextLong(Long.MAX_VALUE - 1),
            heartbeatMillis,
            grantTerms);
    long opened = incarnation.machine().disk().busyUntil();
    simulation.time().at(opened, () -> incarnation.run(() -> begin(registrySettings)));
  }

  private void begin(CoreRegistrySettings registrySettings) {
    Member self = store.self();
    shards =
        new CoreShards(
            ShardSettings.defaults(),
            self,
            seeds,
            store.isFirstStart(),
            ShardMap.SHARD_COUNT,
            store.storedShards(),
            random.nextLong(),
            now());
    CoreRegistry registry =
        new CoreRegistry(
            registrySettings, new ShardLeases(shards, this::now), store.withdrawals(), now());
    Hello hello =
        HelloMessages.ofCore(incarnation.machine().name(), self.getAddress(), random.nextLong());
    links =
        new SimulatedLinks(
            simulation, incarnation, LinkSettings.defaults(), hello, this, random.split());
    host =
        new CoreHost(
            shards,
            registry,
            this::now,
            new ObservedLinks(),
            new Storage(),
            callers,
            this::limits,
            change -> {});
    seeds.forEach(links::dial);
    simulation.network().listen(incarnation, controlAddress(), callers::accept);
    tick();
  }

  // What others see

  /** The machine's incarnation in which this process runs. */
  public SimulatedMachine.Incarnation incarnation() {
    return incarnation;
  }

  /** Name of the machine and number of its incarnation. */
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

  /**
   * Begins a graceful shutdown: leaves the groups that don't need this process, then gives all
   * leases back; the process has to be ended afterwards.
   */
  public void shutDown() {
    if (hasBegun()) {
      host.leave();
      releaseOnceLeft(LEAVE_TICKS);
    }
  }

  private void releaseOnceLeft(int ticks) {
    if (host.hasLeft() || ticks == 0) {
      host.release();
      return;
    }
    incarnation.after(TICK, () -> releaseOnceLeft(ticks - 1));
  }

  // Links

  @Override
  public void up(Peer peer) {
    host.up(peer);
  }

  @Override
  public void down(Peer peer) {
    host.down(peer);
  }

  @Override
  public void received(Peer peer, SpecificRecord message) {
    host.received(peer, message);
    observer.stepped(this);
  }

  // Calls

  private void call(long call, ControlRequest request) {
    if (request instanceof ControlRequest.Configuration configuration) {
      byte[] body = configuration.body().getBytes(StandardCharsets.UTF_8);
      host.operatorCall(call, configuration.method(), configuration.ifMatch(), body);
    } else if (request instanceof ControlRequest.Registration registration) {
      host.backendCall(call, registration.method(), registration.backend());
    }
    observer.stepped(this);
  }

  // Work

  private void tick() {
    host.tick();
    observer.stepped(this);
    incarnation.after(TICK, this::tick);
  }

  private Optional<Map<String, QuotaLimit>> limits(CommittedConfiguration committed) {
    return Optional.of(QuotaLimits.of(RoutingTables.compile(committed.document()).tenants()));
  }

  private long now() {
    return incarnation.machine().clock().steady();
  }

  /** The disk; the observer is notified after each outcome. */
  private final class Storage implements CoreStorage {
    @Override
    public void store(StorePromise promise, Consumer<StoreOutcome> done) {
      submit(() -> store.storePromise(promise.shard(), promise.proposal()), done);
    }

    @Override
    public void store(StoreVersion version, Consumer<StoreOutcome> done) {
      submit(() -> store.storeVersion(version.shard(), version.version()), done);
    }

    @Override
    public void store(StoreWithdrawals withdrawals, Consumer<StoreOutcome> done) {
      submit(() -> store.storeWithdrawals(withdrawals.withdrawals()), done);
    }

    private void submit(StorageQueue.Write write, Consumer<StoreOutcome> done) {
      storageQueue.submit(
          write,
          outcome -> {
            done.accept(outcome);
            observer.stepped(EmulatedCoreProcess.this);
          });
    }
  }

  /** The links; the observer is notified before what it watches is sent. */
  private final class ObservedLinks implements CoreHostLinks {
    @Override
    public void sendToCore(String address, SpecificRecord message, long validUntil) {
      sendQueue.add(() -> sendToCore(address, message), () -> {}, validUntil);
    }

    private void sendToCore(String address, SpecificRecord message) {
      if (message instanceof Accept accept) {
        observer.accepting(EmulatedCoreProcess.this, accept);
      }
      links.send(address, message);
    }

    @Override
    public void sendToDoor(String door, SpecificRecord message) {
      sendQueue.add(
          () -> {
            if (message instanceof GrantReply reply) {
              observer.granting(EmulatedCoreProcess.this, reply);
            }
            links.send(door, message);
          });
    }

    @Override
    public boolean isUp(String peer) {
      return links.isUp(peer);
    }

    @Override
    public void coreLinkUp(String address) {
      links.dial(address);
    }

    @Override
    public void followMembers(List<Member> members) {
      members.forEach(member -> links.dial(member.getAddress()));
    }
  }
}
