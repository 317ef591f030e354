package nettletrail.emulator.capacity;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import nettletrail.control.door.DoorAction.ConfigurationChanged;
import nettletrail.control.door.DoorControl;
import nettletrail.control.door.DoorControlSettings;
import nettletrail.control.host.DoorDataPlane;
import nettletrail.control.host.DoorHost;
import nettletrail.control.host.DoorHostLinks;
import nettletrail.emulator.simulation.VirtualTime;
import org.apache.avro.specific.SpecificRecord;

/**
 * A door's real control plane over measured links, with its share of the requests, which take quota
 * and do nothing else.
 */
final class MeasuredDoor implements MeasuredNetwork.Endpoint {
  private static final long TICK = DoorHost.TICK_MS * VirtualTime.MILLISECOND;
  private static final long REVOKE_MS = 5_000;
  private static final long IN_FORCE_MS = 9_000;

  private final VirtualTime time;
  private final MeasuredNetwork network;
  private final MeasuredProcess process;
  private final String name;
  private final String zone;
  private final List<String> seeds;
  private final SplittableRandom random;
  private final CompiledConfigurations configurations;
  private final SimulatedRequests requests;
  private final Set<String> dialled = new HashSet<>();
  private DoorControl control;
  private DoorHost host;

  MeasuredDoor(
      FleetParts parts,
      MeasuredProcess process,
      int number,
      double requestsPerSecond,
      SplittableRandom random) {
    this.time = parts.time();
    this.network = parts.network();
    this.configurations = parts.configurations();
    this.seeds = parts.seeds();
    this.process = process;
    this.name = process.name();
    this.zone = FleetNames.zone(number);
    this.random = random;
    this.requests =
        new SimulatedRequests(parts.demand(), requestsPerSecond, random.split(), parts.counts());
    network.add(name, this);
  }

  /** Starts an incarnation of the process with nothing in memory. */
  void start() {
    process.start();
    requests.clear();
    dialled.clear();
    long incarnation = 1 + random.nextLong(Long.MAX_VALUE - 1);
    DoorControlSettings settings =
        new DoorControlSettings(name, zone, incarnation, REVOKE_MS, IN_FORCE_MS, seeds);
    control = new DoorControl(settings, time.now());
    host = new DoorHost(control, time::now, new MeasuredLinks(), new DataPlane());
    process.submit(this::tick);
    nextRequest();
  }

  void kill() {
    process.end();
    network.ended(name);
  }

  /** Lets the door have served every tenant once, as after some days of service. */
  void age(int tenants) {
    for (int tenant = 0; tenant < tenants; tenant++) {
      control.grants().usableTokens(FleetNames.tenant(tenant), time.now());
    }
  }

  /** Ends the process and lets go of its memory. */
  void release() {
    process.end();
    requests.clear();
    control = null;
    host = null;
  }

  @Override
  public MeasuredProcess process() {
    return process;
  }

  private void tick() {
    host.tick();
    retryRequests();
    requests.refuseOverdue(control, time.now());
    process.after(TICK, this::tick);
  }

  private void nextRequest() {
    process.after(requests.gap(), this::request);
  }

  private void request() {
    nextRequest();
    host.perform(requests.request(control, time.now()));
    retryRequests();
  }

  private void retryRequests() {
    requests.retryGrown(control, time.now());
  }

  // Links

  @Override
  public void up(String peer, boolean peerIsDoor) {
    host.linkUp(peer);
    retryRequests();
  }

  @Override
  public void down(String peer, boolean peerIsDoor) {
    host.linkDown(peer);
    retryRequests();
  }

  @Override
  public void received(String peer, boolean peerIsDoor, SpecificRecord message) {
    host.receivedFromCore(peer, message);
    retryRequests();
  }

  @Override
  public boolean isDoor() {
    return true;
  }

  @Override
  public Set<String> dialled() {
    return dialled;
  }

  private final class MeasuredLinks implements DoorHostLinks {
    @Override
    public void dial(String address) {
      dialled.add(address);
    }

    @Override
    public void undial(String address) {
      dialled.remove(address);
    }

    @Override
    public void send(String address, SpecificRecord message) {
      network.send(name, address, message);
    }

    /** Two processes have one link at most, and the host is notified only after it is down. */
    @Override
    public boolean isUp(String address) {
      return false;
    }
  }

  /** Requests need limits only; the lookup of backends has its cost in the measurement. */
  private final class DataPlane implements DoorDataPlane {
    @Override
    public void activate(ConfigurationChanged changed) {
      CompiledConfigurations.Compiled compiled = configurations.of(changed);
      process.charge(compiled.cpuNs());
      control.grants().limitsChanged(compiled.limits());
      configurations.inForce(name, changed.edition(), time.now());
    }

    @Override
    public void backendsChanged(String service) {
      control.backends(service);
    }
  }
}
