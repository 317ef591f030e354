package nettletrail.emulator.capacity;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import nettletrail.control.door.DoorAction;
import nettletrail.control.door.DoorControl;
import nettletrail.control.door.DoorControlSettings;
import nettletrail.emulator.simulation.VirtualTime;
import org.apache.avro.specific.SpecificRecord;

/** A door's real control plane with its share of requests, which take quota and do nothing else. */
final class HollowDoor implements MeasuredNetwork.Endpoint {
  private static final long TICK = 50 * VirtualTime.MILLISECOND;
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
  private final HollowRequests requests;
  private final Set<String> dialled = new HashSet<>();
  private DoorControl control;

  HollowDoor(
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
        new HollowRequests(parts.demand(), requestsPerSecond, random.split(), parts.counts());
    network.add(name, this);
  }

  /** Starts a life of the process with nothing in memory. */
  void start() {
    process.start();
    requests.clear();
    dialled.clear();
    long incarnation = 1 + random.nextLong(Long.MAX_VALUE - 1);
    DoorControlSettings settings =
        new DoorControlSettings(name, zone, incarnation, REVOKE_MS, IN_FORCE_MS, seeds);
    control = new DoorControl(settings, time.now());
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
      control.grants().usable(FleetNames.tenant(tenant), time.now());
    }
  }

  /** Ends the process and lets go of its memory. */
  void release() {
    process.end();
    requests.clear();
    control = null;
  }

  @Override
  public MeasuredProcess process() {
    return process;
  }

  private void tick() {
    perform(control.tick(time.now()));
    requests.refuseOverdue(control, time.now());
    process.after(TICK, this::tick);
  }

  private void nextRequest() {
    process.after(requests.gap(), this::request);
  }

  private void request() {
    nextRequest();
    perform(requests.request(control, time.now()));
  }

  private void perform(List<DoorAction> actions) {
    for (DoorAction action : actions) {
      if (action instanceof DoorAction.Dial dial) {
        dialled.add(dial.address());
      } else if (action instanceof DoorAction.Undial undial) {
        dialled.remove(undial.address());
      } else if (action instanceof DoorAction.SendToCore send) {
        network.send(name, send.address(), send.message());
      } else if (action instanceof DoorAction.ConfigurationChanged changed) {
        configurationChanged(changed);
      } else if (action instanceof DoorAction.BackendsChanged changed) {
        control.backends(changed.service());
      }
    }
    requests.retryGrown(control, time.now());
  }

  private void configurationChanged(DoorAction.ConfigurationChanged changed) {
    CompiledConfigurations.Compiled compiled = configurations.of(changed);
    process.charge(compiled.cpuNs());
    control.grants().limits(compiled.limits());
    configurations.inForce(name, changed.edition(), time.now());
  }

  // Links

  @Override
  public void up(String peer, boolean peerIsDoor) {
    perform(control.linkUp(peer, time.now()));
  }

  @Override
  public void down(String peer, boolean peerIsDoor) {
    perform(control.linkDown(peer, time.now()));
  }

  @Override
  public void received(String peer, boolean peerIsDoor, SpecificRecord message) {
    perform(control.received(peer, message, time.now()));
  }

  @Override
  public boolean isDoor() {
    return true;
  }

  @Override
  public Set<String> dialled() {
    return dialled;
  }
}
