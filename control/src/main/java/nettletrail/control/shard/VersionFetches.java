package nettletrail.control.shard;

import java.util.HashMap;
import java.util.Map;

/**
 * Which peer a process that is behind may ask for the newest committed version.
 *
 * <p>A peer that was asked is asked again only once it has answered a query that was sent after the
 * request: a link keeps the order, so the version has arrived before that answer or is lost.
 * Another peer is asked meanwhile only after some time. So on a thin link no version queues behind
 * another one from the same peer.
 */
final class VersionFetches {

  /** After how many rounds of queries a peer counts as slow, and another is asked too. */
  private static final int ROUNDS_UNTIL_SLOW = 4;

  private final ShardSettings settings;
  private final Map<String, Long> requestedAt = new HashMap<>();
  private long lastRequestedAt = ReplicaGroup.NEVER;
  private String pendingPeer = "";

  VersionFetches(ShardSettings settings) {
    this.settings = settings;
  }

  /**
   * True if a peer that is ahead should be asked now.
   *
   * @param querySentAt when the query was sent that it has just answered
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
    return now - lastRequestedAt >= rounds * settings.confirm();
  }

  /** The peer is asked now. */
  void onRequested(String peer, long now) {
    requestedAt.put(peer, now);
    lastRequestedAt = now;
    pendingPeer = peer;
  }

  /** A version came, from whichever peer. */
  void onVersionReceived() {
    pendingPeer = "";
  }

  /** Keeps what is known of members of the group only, so that memory stays bounded. */
  void retain(ReplicaGroup group) {
    requestedAt.keySet().removeIf(address -> !hasAddress(group, address));
  }

  private static boolean hasAddress(ReplicaGroup group, String address) {
    return group.members().stream().anyMatch(member -> member.getAddress().equals(address));
  }
}
