package nettletrail.emulator.capacity.sockets;

import io.netty.channel.EventLoop;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import nettletrail.control.door.DoorAction;
import nettletrail.control.door.DoorControl;
import nettletrail.control.door.DoorControlSettings;
import nettletrail.emulator.capacity.HollowRequests;
import nettletrail.protocol.Hello;
import nettletrail.protocol.link.LinkListener;
import nettletrail.protocol.link.LinkSettings;
import nettletrail.protocol.link.Links;
import nettletrail.protocol.link.Peer;
import org.apache.avro.specific.SpecificRecord;

/**
 * A door's control plane on real links, with hollow requests. Everything runs on its event loop.
 */
final class SocketDoor implements LinkListener {
  private static final int PROTOCOL_VERSION = 2;
  private static final long TICK_MS = 50;
  private static final long REVOKE_MS = 5_000;
  private static final long IN_FORCE_MS = 9_000;

  private final EventLoop loop;
  private final Links links;
  private final DoorControl control;
  private final HollowRequests requests;
  private final ConfigurationListener configurations;

  /** Told each edition that a door puts in force. */
  interface ConfigurationListener {
    /** Called on the door's loop. */
    void inForce(SocketDoor door, long edition, ByteBuffer document);
  }

  SocketDoor(
      EventLoop loop,
      String name,
      long incarnation,
      List<String> seeds,
      HollowRequests requests,
      ConfigurationListener configurations) {
    this.loop = loop;
    this.requests = requests;
    this.configurations = configurations;
    this.control =
        new DoorControl(
            new DoorControlSettings(name, "zone", incarnation, REVOKE_MS, IN_FORCE_MS, seeds),
            System.nanoTime());
    Hello hello = new Hello(name, "", Links.DOOR_ROLE, incarnation, PROTOCOL_VERSION);
    this.links = new Links(loop, LinkSettings.defaults(), hello, this);
  }

  /** Begins to dial, and with the requests. */
  void start(long delayMs) {
    loop.scheduleAtFixedRate(this::tick, delayMs, TICK_MS, TimeUnit.MILLISECONDS);
    loop.schedule(this::request, delayMs, TimeUnit.MILLISECONDS);
  }

  DoorControl control() {
    return control;
  }

  void close() {
    links.close();
  }

  private void tick() {
    perform(control.tick(System.nanoTime()));
    requests.refuseOverdue(control, System.nanoTime());
  }

  private void request() {
    loop.schedule(this::request, requests.gap(), TimeUnit.NANOSECONDS);
    perform(requests.request(control, System.nanoTime()));
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
        configurations.inForce(this, changed.edition(), changed.document());
      } else if (action instanceof DoorAction.BackendsChanged changed) {
        control.backends(changed.service());
      }
    }
    requests.retryGrown(control, System.nanoTime());
  }

  @Override
  public void up(Peer peer) {
    perform(control.linkUp(peer.key(), System.nanoTime()));
  }

  @Override
  public void down(Peer peer) {
    if (!links.isUp(peer.key())) {
      perform(control.linkDown(peer.key(), System.nanoTime()));
    }
  }

  @Override
  public void received(Peer peer, SpecificRecord body) {
    perform(control.received(peer.key(), body, System.nanoTime()));
  }
}
