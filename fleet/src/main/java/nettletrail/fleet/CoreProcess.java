package nettletrail.fleet;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.ImmediateEventExecutor;
import io.netty.util.concurrent.Promise;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import nettletrail.control.CoreRegistry;
import nettletrail.control.CoreRegistrySettings;
import nettletrail.control.ShardMap;
import nettletrail.control.grant.GrantTerms;
import nettletrail.control.host.CoreHost;
import nettletrail.control.host.ShardLeases;
import nettletrail.control.shard.Bootstrap;
import nettletrail.control.shard.CoreShards;
import nettletrail.control.shard.ShardSettings;
import nettletrail.fleet.http.ControlRequestHandler;
import nettletrail.fleet.http.ControlServer;
import nettletrail.fleet.http.ControlSettings;
import nettletrail.fleet.settings.FleetSettings;
import nettletrail.fleet.settings.OperatingLimits;
import nettletrail.protocol.Backend;
import nettletrail.protocol.Hello;
import nettletrail.protocol.Member;
import nettletrail.protocol.event.LogEvent;
import nettletrail.protocol.link.HelloMessages;
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
 * The role {@code core}: runs the {@link CoreHost} of the control plane over links, disk and the
 * HTTP interface for the operator and the backends. Everything runs on one event loop, but for the
 * disk.
 */
final class CoreProcess implements LinkListener, ControlRequestHandler, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(CoreProcess.class);

  /** Time for the messages that give the leases back to leave before the links are closed. */
  private static final long RELEASE_MS = 100;

  /** Time to leave the replica groups that are larger than they have to be. */
  private static final long LEAVE_MS = 1_000;

  private static final long SHUTDOWN_MS = 1_000;
  private static final double MILLIS_A_SECOND = 1_000;

  private final FleetSettings settings;
  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final StorageThread storage;
  private final Links links;
  private final CorePeerLinks peerLinks;
  private final ProcessMetrics metrics = new ProcessMetrics();
  private final ControlServer server;
  private final CoreHost host;
  private final CoreStatus status;
  private ScheduledFuture<?> ticks;

  /** Opens the disk; blocks until it has been read. */
  CoreProcess(FleetSettings settings) throws StartException {
    this.settings = settings;
    SplittableRandom random = ProcessSeed.random(settings.node());
    CoreStore store = openStore(settings, random.nextLong());
    long now = System.nanoTime();
    long incarnation = random.nextLong() & Long.MAX_VALUE;
    Member self = store.self();
    this.storage = new StorageThread(store, loop);
    CoreShards shards =
        new CoreShards(
            ShardSettings.defaults().tolerating(settings.toleratedLosses().machines()),
            self,
            settings.seedInternalAddresses(),
            store.isFirstStart(),
            ShardMap.SHARD_COUNT,
            store.storedShards(),
            random.nextLong(),
            now);
    CoreRegistry registry =
        new CoreRegistry(
            registrySettings(settings, incarnation),
            new ShardLeases(shards, System::nanoTime),
            store.withdrawals(),
            now);
    Hello hello = HelloMessages.ofCore(settings.node(), self.getAddress(), incarnation);
    this.links = new Links(loop, LinkSettings.defaults(), hello, this, metrics);
    this.peerLinks =
        new CorePeerLinks(links, settings.internalAddress(), settings.seedInternalAddresses());
    this.server = new ControlServer(loop, ControlSettings.defaults(), this);
    this.host =
        new CoreHost(
            shards,
            registry,
            System::nanoTime,
            peerLinks,
            storage,
            new CoreHttpCallers(server),
            new LoggedConfigurations(),
            new LoggedGroupChanges());
    this.status = new CoreStatus(settings, shards, registry, storage, server);
    LOG.info("{} core {} starts as {}", LogEvent.CORE_STARTS, settings.node(), self.getId());
    store.storedShards().forEach((shard, content) -> logDamage(shard, content.damagedFiles()));
    if (!store.withdrawalDamage().isEmpty()) {
      LOG.warn("{} storage: {}", LogEvent.STORAGE_DAMAGED, store.withdrawalDamage());
    }
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
      throw new StartException(
          StartStep.LISTEN, settings.internalAddress() + " " + control, failure);
    }
    ticks =
        loop.scheduleAtFixedRate(
            host::tick, CoreHost.TICK_MS, CoreHost.TICK_MS, TimeUnit.MILLISECONDS);
    loop.execute(() -> server.setReady(true));
  }

  /** Takes the seeds of changed settings; on any thread. */
  void settingsChanged(FleetSettings changed) {
    loop.execute(() -> peerLinks.setSeeds(changed.seedInternalAddresses()));
  }

  EventLoop loop() {
    return loop;
  }

  /** Answers questions for the process's own figures on this port of the machine. */
  void serveMetrics(int port) {
    MetricsServer.listen(loop, settings.ip(), port, metrics);
  }

  /**
   * Leaves the replica groups that are larger than they have to be, gives the leases back and ends;
   * blocks until that is done, for three seconds at most.
   */
  @Override
  public void close() {
    if (ticks != null) {
      leaveGroups();
      ticks.cancel(false);
    }
    loop.execute(
        () -> {
          server.close();
          host.release();
        });
    loop.schedule(links::close, RELEASE_MS, TimeUnit.MILLISECONDS);
    storage.close();
    group
        .shutdownGracefully(RELEASE_MS, SHUTDOWN_MS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(2 * SHUTDOWN_MS);
  }

  private void leaveGroups() {
    Promise<Void> left = ImmediateEventExecutor.INSTANCE.newPromise();
    loop.execute(
        () -> {
          server.close();
          host.leave();
          awaitLeft(left);
        });
    if (!left.awaitUninterruptibly(LEAVE_MS)) {
      left.cancel(false);
      LOG.warn(
          "{} core: no answer to the request to leave the groups", LogEvent.GROUP_LEAVE_UNANSWERED);
    }
  }

  private void awaitLeft(Promise<Void> left) {
    if (host.hasLeft()) {
      left.trySuccess(null);
    } else if (!left.isCancelled()) {
      loop.schedule(() -> awaitLeft(left), CoreHost.TICK_MS, TimeUnit.MILLISECONDS);
    }
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
  public void received(Peer peer, SpecificRecord body) {
    host.received(peer, body);
  }

  // Calls

  @Override
  public void backend(long call, String method, Backend backend) {
    host.backendCall(call, method, backend);
  }

  @Override
  public void configuration(long call, String method, String ifMatch, byte[] body) {
    host.operatorCall(call, method, ifMatch, body);
  }

  @Override
  public void status(long call, String resource) {
    status.answer(call, resource);
  }

  private static CoreStore openStore(FleetSettings settings, long random) throws StartException {
    Path path = settings.dataDirectory().orElse(null);
    if (path == null) {
      throw new StartException(
          StartStep.OPEN_DISK, "data_dir is missing: the role core keeps state", null);
    }
    try {
      return CoreStore.open(
          DiskDirectory.open(path),
          settings.internalAddress(),
          settings.firstRun(),
          ShardMap.SHARD_COUNT,
          random,
          Bootstrap.initialVersion(settings.seedInternalAddresses()));
    } catch (StorageException failure) {
      throw new StartException(StartStep.OPEN_DISK, failure.getMessage(), failure);
    }
  }

  private static CoreRegistrySettings registrySettings(FleetSettings settings, long incarnation) {
    OperatingLimits bounds = settings.bounds();
    GrantTerms terms =
        new GrantTerms(
            bounds.quotaWindow().toMillis() / MILLIS_A_SECOND,
            bounds.quotaTolerance(),
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
