package nettletrail.fleet;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;
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
import nettletrail.fleet.http.ControlCalls;
import nettletrail.fleet.http.ControlServer;
import nettletrail.fleet.http.ControlSettings;
import nettletrail.fleet.settings.Bounds;
import nettletrail.fleet.settings.FleetSettings;
import nettletrail.protocol.Backend;
import nettletrail.protocol.Hello;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.event.LogEvent;
import nettletrail.protocol.link.LinkListener;
import nettletrail.protocol.link.LinkSettings;
import nettletrail.protocol.link.Links;
import nettletrail.protocol.link.Peer;
import nettletrail.protocol.link.ProtocolException;
import nettletrail.store.CoreStore;
import nettletrail.store.DiskDirectory;
import nettletrail.store.StorageException;
import org.apache.avro.specific.SpecificRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The role {@code core}: joins the deciders of the control plane with links, disk and the HTTP
 * interface for the operator and the backends. Decides nothing itself. Everything runs on one event
 * loop, but for writes to the disk.
 */
final class CoreProcess implements LinkListener, ControlCalls, ShardOwnership, AutoCloseable {
  /** The configuration's shard and four for tenants and services. */
  static final int SHARD_COUNT = ShardMap.SHARD_COUNT;

  private static final Logger LOG = LoggerFactory.getLogger(CoreProcess.class);
  private static final String ROLE = "core";
  private static final int PROTOCOL_VERSION = 2;
  private static final long TICK_MS = 50;

  /** Time for the messages that give the leases back to leave before the links are closed. */
  private static final long RELEASE_MS = 100;

  private static final long SHUTDOWN_MS = 1_000;
  private static final double MILLIS_A_SECOND = 1_000;
  private static final byte[] NO_JSON = "{}".getBytes(StandardCharsets.UTF_8);

  private final FleetSettings settings;
  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final StorageThread storage;
  private final CoreShards shards;
  private final CoreRegistry registry;
  private final Links links;
  private final ProcessMetrics metrics = new ProcessMetrics();
  private final ValidMessageSender sender;
  private final ControlServer server;
  private final CoreStatus status;
  private List<String> seeds;

  /** The newest committed document; the next one is read beside it. */
  private ConfigurationDocument newest;

  private ScheduledFuture<?> ticks;

  /** Opens the disk; blocks until it has been read. */
  CoreProcess(FleetSettings settings) throws StartException {
    this.settings = settings;
    this.seeds = settings.seedInternalAddresses();
    SplittableRandom random = ProcessSeed.random(settings.node());
    CoreStore store = openStore(settings, random.nextLong());
    long now = System.nanoTime();
    long incarnation = random.nextLong() & Long.MAX_VALUE;
    Member self = store.self();
    this.storage = new StorageThread(store);
    this.shards =
        new CoreShards(
            ShardSettings.defaults().withstanding(settings.toleratedLosses().machines()),
            self,
            settings.seedInternalAddresses(),
            settings.firstRun(),
            SHARD_COUNT,
            store.stored(),
            random.nextLong(),
            now);
    this.registry = new CoreRegistry(registrySettings(settings, incarnation), this, now);
    Hello hello =
        new Hello(settings.node(), self.getAddress(), ROLE, incarnation, PROTOCOL_VERSION);
    this.links = new Links(loop, LinkSettings.defaults(), hello, this, metrics);
    this.sender = new ValidMessageSender(links::send, System::nanoTime);
    this.server = new ControlServer(loop, ControlSettings.defaults(), this);
    this.status = new CoreStatus(settings, shards, registry, storage, loop, server);
    LOG.info("{} core {} starts as {}", LogEvent.CORE_STARTS, settings.node(), self.getId());
    store.stored().forEach((shard, content) -> logDamage(shard, content.damaged()));
  }

  private static void logDamage(int shard, List<String> files) {
    for (String file : files) {
      LOG.warn("{} storage: shard {}: {} is damaged", LogEvent.STORAGE_DAMAGED, shard, file);
    }
  }

  /** Listens for links and calls, and begins to work. */
  void start() throws StartException {
    String control = settings.controlGate().orElse("");
    try {
      links.listen(settings.internalAddress()).sync();
      server.listen(FleetSettings.socketAddress(control)).sync();
    } catch (ProtocolException | InterruptedException | RuntimeException failure) {
      throw new StartException("listen", settings.internalAddress() + " " + control, failure);
    }
    ticks = loop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    loop.execute(() -> server.setReady(true));
  }

  /** Takes the seeds of changed settings; on any thread. */
  void settingsChanged(FleetSettings changed) {
    loop.execute(() -> seeds = changed.seedInternalAddresses());
  }

  EventLoop loop() {
    return loop;
  }

  /** Answers questions for the process's own figures on this port of the machine. */
  void serveMetrics(int port) {
    MetricsServer.listen(loop, settings.ip(), port, metrics);
  }

  /** Gives the leases back and ends; blocks until that is done, for two seconds at most. */
  @Override
  public void close() {
    if (ticks != null) {
      ticks.cancel(false);
    }
    loop.execute(
        () -> {
          server.close();
          run(shards.release(System.nanoTime()));
        });
    loop.schedule(links::close, RELEASE_MS, TimeUnit.MILLISECONDS);
    storage.close();
    group
        .shutdownGracefully(RELEASE_MS, SHUTDOWN_MS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(2 * SHUTDOWN_MS);
  }

  // Links

  @Override
  public void up(Peer peer) {
    long now = System.nanoTime();
    if (isDoor(peer)) {
      perform(registry.doorUp(peer.key(), now));
      return;
    }
    perform(registry.coreUp(peer.key(), now));
  }

  @Override
  public void down(Peer peer) {
    long now = System.nanoTime();
    if (links.isUp(peer.key())) {
      return;
    }
    perform(isDoor(peer) ? registry.doorDown(peer.key(), now) : registry.coreDown(peer.key(), now));
  }

  @Override
  public void received(Peer peer, SpecificRecord body) {
    long now = System.nanoTime();
    if (isDoor(peer)) {
      perform(registry.receiveFromDoor(peer.key(), body, now));
      return;
    }
    run(shards.receive(peer.key(), body, now));
    perform(registry.receiveFromCore(peer.key(), body, now));
  }

  private static boolean isDoor(Peer peer) {
    return peer.role().equals(Links.DOOR_ROLE);
  }

  private void dialOther(String address) {
    if (!address.equals(settings.internalAddress())) {
      links.dial(address);
    }
  }

  // Calls

  @Override
  public void backend(long call, String method, Backend backend) {
    perform(registry.backendCall(call, method, backend, System.nanoTime()));
  }

  @Override
  public void configuration(long call, String method, String ifMatch, byte[] body) {
    run(shards.submit(call, method, ifMatch, body, System.nanoTime()));
  }

  @Override
  public void status(long call, String resource) {
    status.answer(call, resource);
  }

  // Work

  private void tick() {
    long now = System.nanoTime();
    run(shards.tick(now));
    perform(registry.tick(now));
    followMembers();
  }

  /** Keeps a link to each seed and member, and to nobody else. */
  private void followMembers() {
    Set<String> wanted = new HashSet<>(seeds);
    for (Member member : shards.members()) {
      wanted.add(member.getAddress());
    }
    for (String address : Set.copyOf(links.dialled())) {
      if (!wanted.contains(address)) {
        links.undial(address);
      }
    }
    wanted.forEach(this::dialOther);
  }

  private void run(List<CoreAction> actions) {
    for (CoreAction action : actions) {
      if (action instanceof CoreAction.Send send) {
        sender.send(send.address(), send.message(), send.validUntil());
      } else if (action instanceof CoreAction.StorePromise promise) {
        storage.store(promise, outcome -> stored(promise.ticket(), outcome));
      } else if (action instanceof CoreAction.StoreVersion version) {
        storage.store(version, outcome -> stored(version.ticket(), outcome));
      } else if (action instanceof CoreAction.AnswerOperator answer) {
        server.answer(answer.call(), answer.status(), answer.body(), answer.validUntil());
      } else if (action instanceof CoreAction.CommittedConfiguration committed) {
        committed(committed);
      }
    }
  }

  private void stored(long ticket, StoreOutcome outcome) {
    loop.execute(() -> run(shards.stored(ticket, outcome, System.nanoTime())));
  }

  private void committed(CoreAction.CommittedConfiguration committed) {
    try {
      newest = ConfigurationDocument.parse(committed.document(), newest);
      Map<String, QuotaLimit> limits = new HashMap<>();
      for (Tenant tenant : newest.tenants()) {
        limits.put(tenant.name(), new QuotaLimit(tenant.ratePerSecond(), tenant.burst()));
      }
      LOG.info(
          "{} configuration {} is committed",
          LogEvent.CONFIGURATION_COMMITTED,
          committed.edition());
      perform(
          registry.configuration(
              committed.sequence(),
              committed.edition(),
              committed.storedDocument(),
              limits,
              System.nanoTime()));
    } catch (ConfigurationException fault) {
      LOG.error(
          "{} committed configuration {} can't be used: {}",
          LogEvent.CONFIGURATION_UNUSABLE,
          committed.edition(),
          fault.getMessage());
    }
  }

  private void perform(List<RegistryAction> actions) {
    for (RegistryAction action : actions) {
      if (action instanceof RegistryAction.SendToCore send) {
        links.send(send.address(), send.message());
      } else if (action instanceof RegistryAction.SendToDoor send) {
        links.send(send.door(), send.message());
      } else if (action instanceof RegistryAction.AnswerBackend answer) {
        server.answer(answer.call(), answer.status(), NO_JSON);
      }
    }
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
    return shards.ownerAddress(shard, System.nanoTime());
  }

  @Override
  public List<Member> members() {
    return shards.members();
  }

  @Override
  public int shardCount() {
    return SHARD_COUNT;
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

  private static CoreStore openStore(FleetSettings settings, long random) throws StartException {
    Path path = settings.dataDirectory().orElse(null);
    if (path == null) {
      throw new StartException(
          "open the disk", "data_dir is missing: the role core keeps state", null);
    }
    try {
      return CoreStore.open(
          DiskDirectory.open(path),
          settings.internalAddress(),
          settings.firstRun(),
          SHARD_COUNT,
          random);
    } catch (StorageException failure) {
      throw new StartException("open the disk", failure.getMessage(), failure);
    }
  }

  private static CoreRegistrySettings registrySettings(FleetSettings settings, long incarnation) {
    Bounds bounds = settings.bounds();
    GrantTerms terms =
        new GrantTerms(
            bounds.quotaWindow().toMillis() / MILLIS_A_SECOND,
            bounds.quotaOver(),
            bounds.quotaSlack(),
            GrantTerms.USUAL_VALID_MS);
    return new CoreRegistrySettings(
        settings.internalAddress(),
        settings.zone(),
        Math.max(1, incarnation),
        settings.heartbeatInterval().toMillis(),
        terms);
  }
}
