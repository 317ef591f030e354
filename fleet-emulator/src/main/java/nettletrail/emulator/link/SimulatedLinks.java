package nettletrail.emulator.link;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import nettletrail.emulator.simulation.Connection;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.Hello;
import nettletrail.protocol.link.HelloMessages;
import nettletrail.protocol.link.LinkListener;
import nettletrail.protocol.link.LinkSettings;
import nettletrail.protocol.link.Peer;
import org.apache.avro.specific.SpecificRecord;

/**
 * All links of one simulated process, with the behaviour of {@code
 * nettletrail.protocol.link.Links}: peers are identified by a key, a new link replaces one of the
 * same direction, messages are dropped while no link is up, a link is closed at its idle timeout,
 * and dialled addresses are dialled again with backoff.
 */
public final class SimulatedLinks {
  private static final int CHECKS_PER_PING = 4;

  private final Simulation simulation;
  private final SimulatedMachine.Incarnation incarnation;
  private final LinkSettings settings;
  private final Hello me;
  private final LinkListener listener;
  private final SplittableRandom random;

  private final Set<String> dialled = new HashSet<>();
  private final Map<String, Long> backoff = new HashMap<>();
  private final Map<String, SimulatedLink> dialledLinks = new HashMap<>();
  private final Map<String, SimulatedLink> acceptedLinks = new HashMap<>();
  private final Set<SimulatedLink> openLinks = new LinkedHashSet<>();
  private long lastCheck;

  /**
   * Links of a process; nothing is dialled yet.
   *
   * @param me the first message of this process on each link; a core process listens at its address
   */
  public SimulatedLinks(
      Simulation simulation,
      SimulatedMachine.Incarnation incarnation,
      LinkSettings settings,
      Hello me,
      LinkListener listener,
      SplittableRandom random) {
    this.simulation = simulation;
    this.incarnation = incarnation;
    this.settings = settings;
    this.me = me;
    this.listener = listener;
    this.random = random;
    this.lastCheck = now();
    if (!HelloMessages.isOfDoor(me)) {
      simulation
          .network()
          .listen(incarnation, me.getAddress(), connection -> add(connection, null));
    }
    checkLater();
  }

  /** Dials an address until {@link #undial}; without effect for the process's own address. */
  public void dial(String address) {
    if (!address.equals(me.getAddress()) && dialled.add(address)) {
      connect(address);
    }
  }

  /** Stops dialling an address and closes its dialled link. */
  public void undial(String address) {
    dialled.remove(address);
    SimulatedLink link = dialledLinks.get(address);
    if (link != null) {
      link.close();
    }
  }

  /** The addresses that are dialled. */
  public Set<String> dialled() {
    return Set.copyOf(dialled);
  }

  /** True if a message to this peer would be sent now. */
  public boolean isUp(String peer) {
    return linkTo(peer) != null;
  }

  /**
   * Sends a message on the dialled link to a peer, or else on the one accepted from it; drops it if
   * there is none.
   */
  public void send(String peer, SpecificRecord message) {
    SimulatedLink link = linkTo(peer);
    if (link == null) {
      return;
    }
    if (simulation.log().isRead()) {
      simulation.log().add("%s -> %s %s %s", me.getNode(), peer, nameOf(message), message);
    }
    link.send(message, now());
  }

  long now() {
    return incarnation.machine().clock().steady();
  }

  void up(SimulatedLink link) {
    Peer peer = link.peer();
    backoff.remove(peer.key());
    SimulatedLink older = linksLike(peer).get(peer.key());
    if (older != null) {
      older.close();
    }
    linksLike(peer).put(peer.key(), link);
    listener.up(peer);
  }

  void received(SimulatedLink link, SpecificRecord message) {
    listener.received(link.peer(), message);
  }

  void closed(SimulatedLink link) {
    openLinks.remove(link);
    Peer peer = link.peer();
    if (peer != null && linksLike(peer).remove(peer.key(), link)) {
      listener.down(peer);
    }
    if (link.dialledAddress() != null) {
      redial(link.dialledAddress());
    }
  }

  private SimulatedLink linkTo(String peer) {
    SimulatedLink link = dialledLinks.get(peer);
    return link != null && link.isOpen() ? link : acceptedLinks.get(peer);
  }

  private static String nameOf(SpecificRecord message) {
    return message.getSchema().getName();
  }

  private Map<String, SimulatedLink> linksLike(Peer peer) {
    return peer.dialled() ? dialledLinks : acceptedLinks;
  }

  private void connect(String address) {
    long timeout = settings.connectTimeoutMillis() * VirtualTime.MILLISECOND;
    simulation
        .network()
        .connect(incarnation, address, timeout, connection -> connected(address, connection));
  }

  private void connected(String address, Connection connection) {
    if (connection == null) {
      redial(address);
    } else {
      add(connection, address);
    }
  }

  private void add(Connection connection, String dialledAddress) {
    SimulatedLink link = new SimulatedLink(this, connection, dialledAddress, now());
    openLinks.add(link);
    link.open(me, now());
  }

  private void redial(String address) {
    if (!dialled.contains(address)) {
      return;
    }
    long bound = backoff.getOrDefault(address, (long) settings.minBackoffMillis());
    long delayMillis = random.nextLong(settings.minBackoffMillis(), bound + 1);
    backoff.put(address, Math.min(settings.maxBackoffMillis(), 2 * bound));
    incarnation.after(
        delayMillis * VirtualTime.MILLISECOND,
        () -> {
          if (dialled.contains(address)) {
            connect(address);
          }
        });
  }

  private void checkLater() {
    long period = settings.pingMillis() * VirtualTime.MILLISECOND / CHECKS_PER_PING;
    incarnation.after(period, this::checkLiveness);
  }

  private void checkLiveness() {
    long now = now();
    long idleTimeout = settings.idleTimeoutMillis() * VirtualTime.MILLISECOND;
    boolean wasSuspended = now - lastCheck > idleTimeout / 2;
    lastCheck = now;
    for (SimulatedLink link : List.copyOf(openLinks)) {
      if (wasSuspended) {
        link.restartIdleTimeout(now);
      }
      link.checkLiveness(now, idleTimeout, settings.pingMillis() * VirtualTime.MILLISECOND);
    }
    checkLater();
  }
}
