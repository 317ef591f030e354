package nettletrail.control.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import nettletrail.protocol.Backend;
import nettletrail.protocol.RegistryDigest;
import nettletrail.protocol.RegistryUpdate;
import nettletrail.protocol.RegistryUpdateReply;

/** The other core processes: which can be reached, and what each of them has to be told. */
public final class CorePeers {
  /** Numbers of updates of one life, before those of another life may begin. */
  private static final int UPDATE_NUMBER_BITS = 24;

  private final String self;
  private final Map<String, Peer> peers = new LinkedHashMap<>();
  private long lastUpdate;

  private static final class Peer {
    final HintedHandoff hints;
    boolean reachable;

    Peer(HintedHandoff hints) {
      this.hints = hints;
    }
  }

  /**
   * Knows no peer yet.
   *
   * @param self this process's address
   * @param incarnation of this process; keeps the numbers of its updates apart from those of other
   *     lives, whose acknowledgements may come late
   */
  public CorePeers(String self, long incarnation) {
    this.self = self;
    this.lastUpdate = incarnation << UPDATE_NUMBER_BITS;
  }

  private long nextUpdate() {
    lastUpdate++;
    return lastUpdate;
  }

  /**
   * Follows the membership: hints are kept for members, others are forgotten once they can't be
   * reached.
   */
  public void members(Collection<String> addresses) {
    for (String address : addresses) {
      if (!address.equals(self)) {
        peer(address);
      }
    }
    peers
        .entrySet()
        .removeIf(entry -> !entry.getValue().reachable && !addresses.contains(entry.getKey()));
  }

  /**
   * A link to a peer is up; it is told everything, since it may have lost what it acknowledged.
   * {@code contents}: all that it has to know.
   */
  public void up(String address, List<Backend> contents, long now) {
    Peer peer = peer(address);
    peer.reachable = true;
    contents.forEach(peer.hints::keep);
    peer.hints.peerIsBack(now);
  }

  /** The link to a peer is gone. */
  public void down(String address) {
    peer(address).reachable = false;
  }

  /** Keeps a report for every peer until each has acknowledged it. */
  public void tell(Backend backend) {
    peers.values().forEach(peer -> peer.hints.keep(backend));
  }

  /** Updates that are due, first sendings and repeated ones. */
  public List<RegistryAction> send(long now) {
    List<RegistryAction> actions = new ArrayList<>();
    peers.forEach(
        (address, peer) -> {
          if (peer.reachable) {
            Optional<RegistryUpdate> first = peer.hints.unsent(now);
            Optional<RegistryUpdate> update = first.isPresent() ? first : peer.hints.due(now);
            update.ifPresent(
                message -> actions.add(new RegistryAction.SendToCore(address, message)));
          }
        });
    return actions;
  }

  /** One digest for each peer that can be reached. */
  public List<RegistryAction> digest(RegistryDigest digest) {
    List<RegistryAction> actions = new ArrayList<>();
    peers.forEach(
        (address, peer) -> {
          if (peer.reachable) {
            actions.add(new RegistryAction.SendToCore(address, digest));
          }
        });
    return actions;
  }

  /** Takes a peer's acknowledgement; returns the reports that it covers. */
  public List<Backend> acknowledged(String address, RegistryUpdateReply reply) {
    Peer peer = peers.get(address);
    return peer == null ? List.of() : peer.hints.acknowledged(reply);
  }

  /** The addresses of all peers that are members or can be reached. */
  public Set<String> addresses() {
    return Set.copyOf(peers.keySet());
  }

  /** Whether this is the only core process. */
  public boolean none() {
    return peers.isEmpty();
  }

  private Peer peer(String address) {
    return peers.computeIfAbsent(
        address, unseen -> new Peer(new HintedHandoff(self, this::nextUpdate)));
  }
}
