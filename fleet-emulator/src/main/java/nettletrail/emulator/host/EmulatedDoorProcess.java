package nettletrail.emulator.host;

import java.util.List;
import java.util.SplittableRandom;
import nettletrail.configuration.RoutingTable;
import nettletrail.control.door.DoorAction.ConfigurationChanged;
import nettletrail.control.door.DoorControl;
import nettletrail.control.door.DoorControlSettings;
import nettletrail.control.host.DoorDataPlane;
import nettletrail.control.host.DoorHost;
import nettletrail.control.host.DoorHostLinks;
import nettletrail.control.host.QuotaLimits;
import nettletrail.emulator.link.SimulatedLinks;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.Backend;
import nettletrail.protocol.Hello;
import nettletrail.protocol.link.HelloMessages;
import nettletrail.protocol.link.LinkListener;
import nettletrail.protocol.link.LinkSettings;
import nettletrail.protocol.link.Peer;
import org.apache.avro.specific.SpecificRecord;

/**
 * One incarnation of a door's process: a {@link DoorHost} over simulated links and clock, without a
 * data plane. All calls come within steps of the incarnation.
 */
public final class EmulatedDoorProcess implements LinkListener {

  /** What the activation of a configuration takes of a door's thread; spaces the next one. */
  private static final long ACTIVATION_TIME = 20 * VirtualTime.MILLISECOND;

  private static final long TICK = DoorHost.TICK_MS * VirtualTime.MILLISECOND;

  private final SimulatedMachine.Incarnation incarnation;
  private final DoorControl control;
  private final SimulatedLinks links;
  private final DoorHost host;
  private RoutingTable table;

  /**
   * The bounds that a door keeps, in milliseconds.
   *
   * @param revokeMillis how long keys hold after a confirmation
   * @param inForceMillis within which an acknowledged configuration has to be in force
   */
  public record DoorLimits(long revokeMillis, long inForceMillis) {}

  /**
   * Starts at once.
   *
   * @param seeds addresses of links to begin with
   * @param limits the time limits that the door keeps
   */
  public EmulatedDoorProcess(
      Simulation simulation,
      SimulatedMachine.Incarnation incarnation,
      List<String> seeds,
      DoorLimits limits) {
    this.incarnation = incarnation;
    SplittableRandom random = simulation.newRandom();
    String name = incarnation.machine().name();
    String zone = "zone-" + name;
    DoorControlSettings settings =
        new DoorControlSettings(
            name,
            zone,
            1 + random.nextLong(Long.MAX_VALUE - 1),
            limits.revokeMillis(),
            limits.inForceMillis(),
            seeds);
    this.control = new DoorControl(settings, now());
    Hello hello = HelloMessages.ofDoor(name, "", settings.incarnation());
    this.links =
        new SimulatedLinks(
            simulation, incarnation, LinkSettings.defaults(), hello, this, random.split());
    this.host = new DoorHost(control, this::now, new HostLinks(), new DataPlane());
    tick();
  }

  // What the data plane sees

  /** The machine's incarnation in which this process runs. */
  public SimulatedMachine.Incarnation incarnation() {
    return incarnation;
  }

  /** Name of the machine and number of its incarnation. */
  public String name() {
    return incarnation.machine().name() + "/" + incarnation.number();
  }

  /** The active configuration; null before the first. */
  public RoutingTable table() {
    return table;
  }

  /** True while keys may be accepted and rejected. */
  public boolean keysValid() {
    return control.areKeysValid(now());
  }

  /** Takes quota for a request. */
  public boolean takeQuota(String tenant, long tokens) {
    boolean granted = control.grants().tryAcquire(tenant, tokens, now());
    if (!granted) {
      host.poll();
    }
    return granted;
  }

  /** The backends of a service that are not deregistered. */
  public List<Backend> backends(String service) {
    return control.backends(service);
  }

  /** Takes changed seeds. */
  public void settingsChanged(List<String> seeds) {
    host.settingsChanged(seeds);
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
  }

  // Work

  private void tick() {
    host.tick();
    incarnation.after(TICK, this::tick);
  }

  private long now() {
    return incarnation.machine().clock().steady();
  }

  private final class HostLinks implements DoorHostLinks {
    @Override
    public void dial(String address) {
      links.dial(address);
    }

    @Override
    public void undial(String address) {
      links.undial(address);
    }

    @Override
    public void send(String address, SpecificRecord message) {
      links.send(address, message);
    }

    @Override
    public boolean isUp(String address) {
      return links.isUp(address);
    }
  }

  private final class DataPlane implements DoorDataPlane {
    @Override
    public void activate(ConfigurationChanged changed) {
      table = RoutingTables.compile(changed.document());
      control.grants().limitsChanged(QuotaLimits.of(table.tenants()));
      control.configurationActivated(ACTIVATION_TIME, now());
    }

    /** Does nothing: requests read the backends from the control plane. */
    @Override
    public void backendsChanged(String service) {}
  }
}
