package nettletrail.control.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import nettletrail.protocol.Backend;
import nettletrail.protocol.RegistryDigest;
import nettletrail.protocol.RegistryUpdate;
import nettletrail.protocol.RegistryUpdateReply;

/**
 * The other core processes: which of them are connected, and the updates that each of them hasn't
 * acknowledged yet. Not thread-safe; instants are steady nanoseconds.
 */
public final class CorePeers {
  /** Each incarnation has the update numbers of so many bits for itself. */
  private static final int UPDATE_NUMBER_BITS = 24;

  private final String self;
  private final Map<String, Peer> peers = new LinkedHashMap<>();
  private long lastUpdate;

  private static final class Peer {
    final HintedHandoff hints;
    boolean connected;

    Peer(HintedHandoff hints) {
      this.hints = hints;
    }
  }

  /**
   * Knows no peer yet.
   *
   * @param self this process's address
   * @param incarnation of this process; keeps the numbers of its updates apart from those of other
   *     incarnations, whose acknowledgements may arrive late
   */
  public CorePeers(String self, long incarnation) {
    this.self = self;
    this.lastUpdate = incarnation << UPDATE_NUMBER_BITS;
  }

  /**
   * Follows the membership: hints are stored for members; a peer that is no member is forgotten
   * once it is disconnected.
   */
  public void updateMembers(Collection<String> addresses) {
    for (String address : addresses) {
      if (!address.equals(self)) {
        peer(address);
      }
    }
    peers
        .entrySet()
        .removeIf(entry -> !entry.getValue().connected && !addresses.contains(entry.getKey()));
  }

  /**
   * A link to a peer is up. The peer is sent everything, since it may have restarted and lost what
   * it acknowledged.
   *
   * @param contents all records that it has to know
   */
  public void linkUp(String address, List<Backend> contents, long now) {
    Peer peer = peer(address);
    peer.connected = true;
    contents.forEach(peer.hints::add);
    peer.hints.retryNow(now);
  }

  /** The link to a peer is down. */
  public void linkDown(String address) {
    peer(address).connected = false;
  }

  /** Stores a report as a hint for every peer until each has acknowledged it. */
  public void replicate(Backend backend) {
    peers.values().forEach(peer -> peer.hints.add(backend));
  }

  /** The updates that are due to connected peers: one of new reports, or else one retry, each. */
  public List<RegistryAction> updatesDue(long now) {
    List<RegistryAction> actions = new ArrayList<>();
    peers.forEach(
        (address, peer) -> {
          if (peer.connected) {
            Optional<RegistryUpdate> first = peer.hints.firstAttempt(now);
            Optional<RegistryUpdate> update = first.isPresent() ? first : peer.hints.retry(now);
            update.ifPresent(
                message -> actions.add(new RegistryAction.SendToCore(address, message)));
          }
        });
    return actions;
  }

  /** Sends a digest to each connected peer. */
  public List<RegistryAction> broadcast(RegistryDigest digest) {
    List<RegistryAction> actions = new ArrayList<>();
    peers.forEach(
        (address, peer) -> {
          if (peer.connected) {
            actions.add(new RegistryAction.SendToCore(address, digest));
          }
        });
    return actions;
  }

  /** A peer acknowledged an update; returns the reports that it covers. */
  public List<Backend> acknowledged(String address, RegistryUpdateReply reply) {
    Peer peer = peers.get(address);
    return peer == null ? List.of() : peer.hints.acknowledged(reply);
  }

  /** Whether the link to any peer is up. */
  public boolean isAnyConnected() {
    return peers.values().stream().anyMatch(peer -> peer.connected);
  }

  /** Whether this is the only core process. */
  public boolean isEmpty() {
    return peers.isEmpty();
  }

  private Peer peer(String address) {
    return peers.computeIfAbsent(
        address, unknown -> new Peer(new HintedHandoff(self, this::nextUpdate)));
  }

  private long nextUpdate() {
    lastUpdate++;
    return lastUpdate;
  }
}
