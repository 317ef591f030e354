package nettletrail.control.shard;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which peer a process that is behind may request the newest committed version from.
 *
 * <p>A request to the same peer is repeated only once the peer has answered a query that was sent
 * after the request: links are ordered, so the version has arrived before that answer or is lost.
 * Until then another peer gets a request only after some time. So on a slow link no version queues
 * behind another one from the same peer.
 */
final class VersionFetches {

  /** After how many confirmation rounds a request may go to another peer too. */
  private static final int ROUNDS_UNTIL_SLOW = 4;

  private final ShardSettings settings;
  private final Map<String, Long> requestedAt = new HashMap<>();
  private long lastRequestedAt = ReplicaGroup.NEVER;
  private String pendingPeer = "";

  VersionFetches(ShardSettings settings) {
    this.settings = settings;
  }

  /**
   * True if a peer that is ahead should get a request now.
   *
   * @param querySentAt when the query that it has just answered was sent
   */
  boolean isDue(String peer, long querySentAt, long now) {
    if (querySentAt <= requestedAt.getOrDefault(peer, ReplicaGroup.NEVER)) {
      return false;
    }
    if (lastRequestedAt == ReplicaGroup.NEVER) {
      return true;
    }
    boolean pendingElsewhere = !pendingPeer.isEmpty() && !pendingPeer.equals(peer);
    int rounds = pendingElsewhere ? ROUNDS_UNTIL_SLOW : 1;
    return now - lastRequestedAt >= rounds * settings.confirmationIntervalNanos();
  }

  /** A request is sent to the peer. */
  void onRequested(String peer, long now) {
    requestedAt.put(peer, now);
    lastRequestedAt = now;
    pendingPeer = peer;
  }

  /** A version has arrived, from whichever peer. */
  void onVersionReceived() {
    pendingPeer = "";
  }

  /** Drops requests to processes that are no members, so that memory stays bounded. */
  void retain(ReplicaGroup group) {
    requestedAt.keySet().removeIf(address -> !hasAddress(group, address));
  }

  private static boolean hasAddress(ReplicaGroup group, String address) {
    return group.members().stream().anyMatch(member -> member.getAddress().equals(address));
  }
}
