package nettletrail.emulator.capacity.sockets;

import io.netty.channel.EventLoop;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import nettletrail.control.door.DoorAction.ConfigurationChanged;
import nettletrail.control.door.DoorControl;
import nettletrail.control.door.DoorControlSettings;
import nettletrail.control.host.DoorDataPlane;
import nettletrail.control.host.DoorHost;
import nettletrail.control.host.NetworkDoorLinks;
import nettletrail.emulator.capacity.SimulatedRequests;
import nettletrail.protocol.Hello;
import nettletrail.protocol.link.HelloMessages;
import nettletrail.protocol.link.LinkListener;
import nettletrail.protocol.link.LinkSettings;
import nettletrail.protocol.link.Links;
import nettletrail.protocol.link.Peer;
import org.apache.avro.specific.SpecificRecord;

/**
 * A door's control plane over real links, with simulated requests. Everything runs on its event
 * loop.
 */
final class SocketDoor implements LinkListener {
  private static final long REVOKE_MS = 5_000;
  private static final long IN_FORCE_MS = 9_000;

  private final EventLoop loop;
  private final Links links;
  private final DoorControl control;
  private final DoorHost host;
  private final SimulatedRequests requests;
  private final ConfigurationListener configurations;

  /** Notified of each configuration that a door activates. */
  interface ConfigurationListener {
    /** Called on the door's loop. */
    void inForce(SocketDoor door, long edition, ByteBuffer document);
  }

  SocketDoor(
      EventLoop loop,
      String name,
      long incarnation,
      List<String> seeds,
      SimulatedRequests requests,
      ConfigurationListener configurations) {
    this.loop = loop;
    this.requests = requests;
    this.configurations = configurations;
    this.control =
        new DoorControl(
            new DoorControlSettings(name, "zone", incarnation, REVOKE_MS, IN_FORCE_MS, seeds),
            System.nanoTime());
    Hello hello = HelloMessages.ofDoor(name, "", incarnation);
    this.links = new Links(loop, LinkSettings.defaults(), hello, this);
    this.host =
        new DoorHost(control, System::nanoTime, new NetworkDoorLinks(links), new DataPlane());
  }

  /** Begins to dial, and with the requests. */
  void start(long delayMs) {
    loop.scheduleAtFixedRate(this::tick, delayMs, DoorHost.TICK_MS, TimeUnit.MILLISECONDS);
    loop.schedule(this::request, delayMs, TimeUnit.MILLISECONDS);
  }

  DoorControl control() {
    return control;
  }

  void close() {
    links.close();
  }

  private void tick() {
    host.tick();
    retryRequests();
    requests.refuseOverdue(control, System.nanoTime());
  }

  private void request() {
    loop.schedule(this::request, requests.gap(), TimeUnit.NANOSECONDS);
    host.perform(requests.request(control, System.nanoTime()));
    retryRequests();
  }

  private void retryRequests() {
    requests.retryGrown(control, System.nanoTime());
  }

  @Override
  public void up(Peer peer) {
    host.up(peer);
    retryRequests();
  }

  @Override
  public void down(Peer peer) {
    if (!links.isUp(peer.key())) {
      host.linkDown(peer.key());
      retryRequests();
    }
  }

  @Override
  public void received(Peer peer, SpecificRecord body) {
    host.received(peer, body);
    retryRequests();
  }

  /** Requests need limits only; the lookup of backends has its cost in the measurement. */
  private final class DataPlane implements DoorDataPlane {
    @Override
    public void activate(ConfigurationChanged changed) {
      configurations.inForce(SocketDoor.this, changed.edition(), changed.document());
    }

    @Override
    public void backendsChanged(String service) {
      control.backends(service);
    }
  }
}
