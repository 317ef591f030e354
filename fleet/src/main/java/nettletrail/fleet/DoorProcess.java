package nettletrail.fleet;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import nettletrail.control.door.DoorAction.ConfigurationChanged;
import nettletrail.control.door.DoorControl;
import nettletrail.control.door.DoorControlSettings;
import nettletrail.control.host.DoorDataPlane;
import nettletrail.control.host.DoorHost;
import nettletrail.control.host.NetworkDoorLinks;
import nettletrail.fleet.settings.FleetSettings;
import nettletrail.fleet.settings.OperatingLimits;
import nettletrail.protocol.Hello;
import nettletrail.protocol.event.LogEvent;
import nettletrail.protocol.link.HelloMessages;
import nettletrail.protocol.link.LinkListener;
import nettletrail.protocol.link.LinkSettings;
import nettletrail.protocol.link.Links;
import nettletrail.protocol.link.Peer;
import nettletrail.router.Router;
import nettletrail.router.RouterSettings;
import org.apache.avro.specific.SpecificRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The role {@code door}: runs the {@link DoorHost} of the control plane over links to the core, and
 * joins it with the data plane. Everything runs on one event loop.
 */
final class DoorProcess implements LinkListener, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(DoorProcess.class);

  /** Descriptors that are kept for links, listeners and files. */
  private static final int RESERVED_DESCRIPTORS = 400;

  /** A door takes so many connections however few descriptors it has. */
  private static final int MIN_CONNECTIONS = 64;

  /** Part of the machine's memory that bodies of requests may take. */
  private static final int BODY_MEMORY_DIVISOR = 16;

  private static final long BYTES_A_MEGABYTE = 1 << 20;
  private static final long DRAIN_MARGIN_MS = 500;

  private final FleetSettings settings;
  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final DoorControl control;
  private final DoorHost host;
  private final DoorControlView view;
  private final Links links;
  private final ProcessMetrics metrics = new ProcessMetrics();
  private final Router router;
  private ScheduledFuture<?> ticks;
  private boolean listening;
  private boolean pollScheduled;

  DoorProcess(FleetSettings settings) {
    this.settings = settings;
    SplittableRandom random = ProcessSeed.random(settings.node());
    OperatingLimits bounds = settings.bounds();
    long incarnation = Math.max(1, random.nextLong() & Long.MAX_VALUE);
    long now = System.nanoTime();
    this.control =
        new DoorControl(
            new DoorControlSettings(
                settings.node(),
                settings.zone(),
                incarnation,
                bounds.keyRevocationTime().toMillis(),
                bounds.activationTime().toMillis(),
                settings.seedInternalAddresses()),
            now);
    this.view = new DoorControlView(control, bounds.revokedClosed(), this::quotaShort);
    this.router = new Router(loop, routerSettings(settings, random.nextLong()), view);
    Hello hello = HelloMessages.ofDoor(settings.node(), settings.internalAddress(), incarnation);
    this.links = new Links(loop, LinkSettings.defaults(), hello, this, metrics);
    this.host =
        new DoorHost(control, System::nanoTime, new NetworkDoorLinks(links), new DataPlane());
  }

  /** Begins to find the core; clients are listened for once a configuration is known. */
  void start() throws StartException {
    String ready = settings.readyGate().orElse("");
    try {
      router.listenForProbes(settings.ip(), port(ready)).sync();
    } catch (InterruptedException | RuntimeException failure) {
      throw new StartException(StartStep.LISTEN, ready, failure);
    }
    ticks =
        loop.scheduleAtFixedRate(
            this::tick, DoorHost.TICK_MS, DoorHost.TICK_MS, TimeUnit.MILLISECONDS);
    LOG.info("{} door {} starts", LogEvent.DOOR_STARTS, settings.node());
  }

  /** Takes the seeds of changed settings; on any thread. */
  void settingsChanged(FleetSettings changed) {
    loop.execute(() -> host.settingsChanged(changed.seedInternalAddresses()));
  }

  EventLoop loop() {
    return loop;
  }

  /** Answers questions for the process's own figures on this port of the machine. */
  void serveMetrics(int port) {
    MetricsServer.listen(loop, settings.ip(), port, metrics);
  }

  Router router() {
    return router;
  }

  /** Answers what is open and ends; blocks until then. */
  void drain() throws InterruptedException {
    long graceMs = settings.bounds().shutdownGracePeriod().toMillis();
    CountDownLatch done = new CountDownLatch(1);
    loop.execute(
        () -> {
          control.drain();
          router.drain(graceMs - DRAIN_MARGIN_MS, done::countDown);
        });
    boolean finished = done.await(graceMs, TimeUnit.MILLISECONDS);
    LOG.info("{} door {} ends, drained {}", LogEvent.DOOR_ENDS, settings.node(), finished);
    close();
  }

  @Override
  public void close() {
    if (ticks != null) {
      ticks.cancel(false);
    }
    loop.execute(links::close);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

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
    notifyGrownQuotas();
    schedulePoll();
  }

  private void tick() {
    host.tick();
    notifyGrownQuotas();
  }

  /** A request found too few tokens: requests a grant of the owner without waiting for a tick. */
  private void quotaShort() {
    host.poll();
    schedulePoll();
  }

  /** Schedules a poll where one is due before the next tick; at most one is pending. */
  private void schedulePoll() {
    OptionalLong delay = control.nextPoll();
    if (delay.isEmpty() || pollScheduled) {
      return;
    }
    pollScheduled = true;
    loop.schedule(
        () -> {
          pollScheduled = false;
          quotaShort();
        },
        delay.getAsLong(),
        TimeUnit.NANOSECONDS);
  }

  private void notifyGrownQuotas() {
    List<String> tenants = control.grants().drainReplenishedTenants();
    if (!tenants.isEmpty()) {
      router.quotaGranted(tenants);
    }
  }

  /**
   * Clients are listened for from the first configuration on: before it every request would have to
   * be refused.
   */
  private void listen() {
    if (listening) {
      return;
    }
    listening = true;
    String gate = settings.publicGate().orElse("");
    router
        .listen(settings.ip(), port(gate))
        .addListener(
            bound -> {
              if (!bound.isSuccess()) {
                LOG.error(
                    "{} listen {}: {}", LogEvent.LISTEN_FAILED, gate, bound.cause().toString());
              }
            });
  }

  /** What the control plane changes in the router. */
  private final class DataPlane implements DoorDataPlane {
    /** Reports how long it took too: the spacing of configurations depends on it. */
    @Override
    public void activate(ConfigurationChanged changed) {
      long began = System.nanoTime();
      route(changed);
      long now = System.nanoTime();
      control.configurationActivated(now - began, now);
    }

    private void route(ConfigurationChanged changed) {
      if (view.configurationChanged(changed.document())) {
        LOG.info(
            "{} configuration {} is in force", LogEvent.CONFIGURATION_IN_FORCE, changed.edition());
        router.routingChanged();
        listen();
      }
    }

    @Override
    public void backendsChanged(String service) {
      view.backendsChanged(service);
      router.backendsChanged(service);
    }
  }

  private static RouterSettings routerSettings(FleetSettings settings, long seed) {
    OperatingLimits bounds = settings.bounds();
    return new RouterSettings(
        settings.zone(),
        bounds.retryRatio(),
        bounds.retrySlack(),
        bounds.retryWindow().toMillis(),
        Math.max(MIN_CONNECTIONS, settings.limits().fileLimit() - RESERVED_DESCRIPTORS),
        settings.limits().memoryMegabytes() * BYTES_A_MEGABYTE / BODY_MEMORY_DIVISOR,
        RouterSettings.DEFAULT_CONNECT_TIMEOUT_MS,
        seed);
  }

  private static int port(String hostAndPort) {
    return Integer.parseInt(hostAndPort.substring(hostAndPort.lastIndexOf(':') + 1));
  }
}
