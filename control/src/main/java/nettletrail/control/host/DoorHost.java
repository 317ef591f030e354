package nettletrail.control.host;

import java.util.List;
import java.util.function.LongSupplier;
import nettletrail.control.door.DoorAction;
import nettletrail.control.door.DoorControl;
import nettletrail.protocol.link.LinkListener;
import nettletrail.protocol.link.Peer;
import org.apache.avro.specific.SpecificRecord;

/**
 * Runs the control plane of a door: passes events to {@link DoorControl}, and its actions, in the
 * order given, to links and data plane. Decides nothing itself. All calls come on one thread.
 */
public final class DoorHost implements LinkListener {
  /** How often {@link #tick} has to be called, in milliseconds. */
  public static final long TICK_MS = 50;

  private final DoorControl control;
  private final LongSupplier steadyClock;
  private final DoorHostLinks links;
  private final DoorDataPlane dataPlane;

  /**
   * A host; nothing is dialled before the first {@link #tick}.
   *
   * @param steadyClock in nanoseconds; read anew at each event
   */
  public DoorHost(
      DoorControl control, LongSupplier steadyClock, DoorHostLinks links, DoorDataPlane dataPlane) {
    this.control = control;
    this.steadyClock = steadyClock;
    this.links = links;
    this.dataPlane = dataPlane;
  }

  // Links

  @Override
  public void up(Peer peer) {
    linkUp(peer.key());
  }

  /** Ignored while another link with the same core process is up. */
  @Override
  public void down(Peer peer) {
    if (!links.isUp(peer.key())) {
      linkDown(peer.key());
    }
  }

  @Override
  public void received(Peer peer, SpecificRecord message) {
    receivedFromCore(peer.key(), message);
  }

  /** A link to a core process is up. */
  public void linkUp(String address) {
    perform(control.linkUp(address, now()));
  }

  /** No link to a core process is up any more. */
  public void linkDown(String address) {
    perform(control.linkDown(address, now()));
  }

  /** A core process sent a message. */
  public void receivedFromCore(String address, SpecificRecord message) {
    perform(control.received(address, message, now()));
  }

  // Time and settings

  /** Does what time makes due. */
  public void tick() {
    perform(control.tick(now()));
  }

  /** Does what is due outside of the ticks, as {@link DoorControl#poll} says. */
  public void poll() {
    perform(control.poll(now()));
  }

  /** The settings name these seeds from here on. */
  public void settingsChanged(List<String> seedAddresses) {
    perform(control.seedsChanged(seedAddresses, now()));
  }

  // Actions

  /** Performs actions that {@link DoorControl} returned to another caller. */
  public void perform(List<DoorAction> actions) {
    for (DoorAction action : actions) {
      if (action instanceof DoorAction.Dial dial) {
        links.dial(dial.address());
      } else if (action instanceof DoorAction.Undial undial) {
        links.undial(undial.address());
      } else if (action instanceof DoorAction.SendToCore send) {
        links.send(send.address(), send.message());
      } else if (action instanceof DoorAction.ConfigurationChanged changed) {
        dataPlane.activate(changed);
      } else if (action instanceof DoorAction.BackendsChanged changed) {
        dataPlane.backendsChanged(changed.service());
      }
    }
  }

  private long now() {
    return steadyClock.getAsLong();
  }
}
