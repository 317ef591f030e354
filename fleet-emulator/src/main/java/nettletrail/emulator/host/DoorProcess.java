package nettletrail.emulator.host;

import java.util.List;
import java.util.SplittableRandom;
import nettletrail.configuration.RoutingTable;
import nettletrail.control.door.DoorAction;
import nettletrail.control.door.DoorControl;
import nettletrail.control.door.DoorControlSettings;
import nettletrail.emulator.link.SimulatedLinks;
import nettletrail.emulator.simulation.Machine;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.Backend;
import nettletrail.protocol.Hello;
import nettletrail.protocol.link.LinkListener;
import nettletrail.protocol.link.LinkSettings;
import nettletrail.protocol.link.Peer;
import org.apache.avro.specific.SpecificRecord;

/** One life of a door's process: {@link DoorControl} over simulated links and clock. */
public final class DoorProcess implements LinkListener {
  private static final int PROTOCOL_VERSION = 2;
  private static final long TICK = 50 * VirtualTime.MILLISECOND;

  private final Machine.Incarnation incarnation;
  private final DoorControl control;
  private final SimulatedLinks links;
  private RoutingTable table;

  /**
   * The bounds that a door keeps, in milliseconds.
   *
   * @param revokeMillis how long keys hold after a confirmation
   * @param inForceMillis within which an acknowledged configuration has to be in force
   */
  public record Promises(long revokeMillis, long inForceMillis) {}

  /**
   * Starts at once.
   *
   * @param seeds addresses of links to begin with
   * @param promises the bounds that the door keeps
   */
  public DoorProcess(
      Simulation simulation,
      Machine.Incarnation incarnation,
      List<String> seeds,
      Promises promises) {
    this.incarnation = incarnation;
    SplittableRandom random = simulation.newRandom();
    String name = incarnation.machine().name();
    String zone = "zone-" + name;
    DoorControlSettings settings =
        new DoorControlSettings(
            name,
            zone,
            1 + random.nextLong(Long.MAX_VALUE - 1),
            promises.revokeMillis(),
            promises.inForceMillis(),
            seeds);
    this.control = new DoorControl(settings, now());
    Hello hello =
        new Hello(name, "", SimulatedLinks.DOOR_ROLE, settings.incarnation(), PROTOCOL_VERSION);
    this.links =
        new SimulatedLinks(
            simulation, incarnation, LinkSettings.defaults(), hello, this, random.split());
    tick();
  }

  // What the data plane sees

  /** The machine's life in which this process runs. */
  public Machine.Incarnation incarnation() {
    return incarnation;
  }

  /** Name of the machine and count of its lives. */
  public String name() {
    return incarnation.machine().name() + "/" + incarnation.number();
  }

  /** The configuration in force; null before the first. */
  public RoutingTable table() {
    return table;
  }

  /** True while keys may be taken and refused. */
  public boolean keysValid() {
    return control.keysValid(now());
  }

  /** Takes quota for a request. */
  public boolean takeQuota(String tenant, long tokens) {
    boolean taken = control.grants().take(tenant, tokens, now());
    if (!taken) {
      perform(control.poll(now()));
    }
    return taken;
  }

  /** The backends of a service that are not gone. */
  public List<Backend> backends(String service) {
    return control.backends(service);
  }

  /** Takes changed seeds. */
  public void settingsChanged(List<String> seeds) {
    perform(control.settingsChanged(seeds, now()));
  }

  // Links

  @Override
  public void up(Peer peer) {
    perform(control.linkUp(peer.key(), now()));
  }

  @Override
  public void down(Peer peer) {
    perform(control.linkDown(peer.key(), now()));
  }

  @Override
  public void received(Peer peer, SpecificRecord message) {
    perform(control.received(peer.key(), message, now()));
  }

  // Work

  private void tick() {
    perform(control.tick(now()));
    incarnation.after(TICK, this::tick);
  }

  private void perform(List<DoorAction> actions) {
    for (DoorAction action : actions) {
      if (action instanceof DoorAction.Dial dial) {
        links.dial(dial.address());
      } else if (action instanceof DoorAction.Undial undial) {
        links.undial(undial.address());
      } else if (action instanceof DoorAction.SendToCore send) {
        links.send(send.address(), send.message());
      } else if (action instanceof DoorAction.ConfigurationChanged changed) {
        configurationChanged(changed);
      }
    }
  }

  private void configurationChanged(DoorAction.ConfigurationChanged changed) {
    table = QuotaLimits.table(changed.document());
    control.grants().limits(QuotaLimits.of(table));
  }

  private long now() {
    return incarnation.machine().clock().steady();
  }
}
