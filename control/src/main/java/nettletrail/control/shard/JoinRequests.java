package nettletrail.control.shard;

import java.util.List;
import nettletrail.protocol.JoinRequest;
import nettletrail.protocol.Member;

/**
 * Requests that this process becomes a member of the shards' groups. Sent while it is no member of
 * a shard, or hasn't seen the shard's owner for a while: it may have been replaced. Owners ignore
 * requests of members.
 */
final class JoinRequests {

  private static final int MAX_LEASES_WITHOUT_OWNER = 2;

  private final List<ShardReplica> replicas;
  private final Member self;
  private final PeerDirectory peerDirectory;
  private final ShardSettings settings;
  private final ActionQueue actionQueue;
  private long nextRequestAt;

  JoinRequests(
      List<ShardReplica> replicas,
      Member self,
      PeerDirectory peerDirectory,
      ShardSettings settings,
      ActionQueue actionQueue,
      long now) {
    this.replicas = replicas;
    this.self = self;
    this.peerDirectory = peerDirectory;
    this.settings = settings;
    this.actionQueue = actionQueue;
    this.nextRequestAt = now + settings.joinRequestIntervalNanos();
  }

  /** Sends the requests when they are due. */
  void tick(long now) {
    if (now < nextRequestAt) {
      return;
    }
    nextRequestAt = now + settings.joinRequestIntervalNanos();
    for (int shard = 0; shard < replicas.size(); shard++) {
      if (!isMemberWithOwner(replicas.get(shard), now)) {
        request(shard);
      }
    }
  }

  private boolean isMemberWithOwner(ShardReplica replica, long now) {
    boolean member = replica.group().contains(self.getId());
    long sinceOwnerSeen = now - replica.ownerLastSeenAt();
    return member && sinceOwnerSeen <= MAX_LEASES_WITHOUT_OWNER * settings.leaseNanos();
  }

  private void request(int shard) {
    JoinRequest request = new JoinRequest(shard, self);
    for (String address : peerDirectory.addresses(replicas)) {
      if (!address.equals(self.getAddress())) {
        actionQueue.send(address, request);
      }
    }
  }
}
