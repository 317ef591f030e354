package nettletrail.control.shard;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.protocol.Member;
import nettletrail.protocol.OwnerHeartbeat;
import nettletrail.protocol.OwnerHeartbeatReply;
import nettletrail.protocol.ShardHeartbeat;
import nettletrail.protocol.ShardHeartbeatReply;

/**
 * The heartbeats between owners and their members. One message to an address carries the heartbeats
 * of all shards that this process owns there.
 */
final class OwnerHeartbeats {

  private final List<ShardReplica> replicas;
  private final Member self;
  private final ShardSettings settings;
  private final ActionQueue actionQueue;
  private final Incarnation incarnation;
  private long nextHeartbeatAt;

  OwnerHeartbeats(
      List<ShardReplica> replicas,
      Member self,
      ShardSettings settings,
      ActionQueue actionQueue,
      Incarnation incarnation) {
    this.replicas = replicas;
    this.self = self;
    this.settings = settings;
    this.actionQueue = actionQueue;
    this.incarnation = incarnation;
    this.nextHeartbeatAt = incarnation.startedAt();
  }

  /** Sends the periodic heartbeats when they are due. */
  void tick(long now) {
    if (now >= nextHeartbeatAt) {
      nextHeartbeatAt = now + settings.heartbeatIntervalNanos();
      send(replicas, now);
    }
  }

  /** Sends heartbeats of the shards that have requested one out of turn. */
  void sendRequested(long now) {
    List<ShardReplica> requested = new ArrayList<>();
    for (ShardReplica replica : replicas) {
      if (replica.pollHeartbeatRequest()) {
        requested.add(replica);
      }
    }
    send(requested, now);
  }

  private void send(List<ShardReplica> senders, long now) {
    Map<String, List<ShardHeartbeat>> byAddress = new LinkedHashMap<>();
    for (ShardReplica replica : senders) {
      for (Member member : replica.heartbeatTargets()) {
        byAddress
            .computeIfAbsent(member.getAddress(), address -> new ArrayList<>())
            .add(replica.heartbeat(member));
      }
    }
    byAddress.forEach(
        (address, shards) ->
            actionQueue.send(address, new OwnerHeartbeat(self.getId(), now, shards)));
  }

  /** Answers an owner's heartbeats for the shards that have a replica here. */
  void onHeartbeat(String peerAddress, OwnerHeartbeat heartbeat, long now) {
    List<ShardHeartbeatReply> replies = new ArrayList<>();
    for (ShardHeartbeat shardHeartbeat : heartbeat.getShards()) {
      ShardReplica replica = replicas.get(shardHeartbeat.getShard());
      ShardHeartbeatReply reply = replica.onHeartbeat(shardHeartbeat, now);
      if (reply != null) {
        replies.add(reply);
      }
    }
    if (!replies.isEmpty()) {
      actionQueue.send(
          peerAddress, new OwnerHeartbeatReply(self.getId(), heartbeat.getSentAt(), replies));
    }
  }

  /** Takes a member's answer to a heartbeat of this incarnation. */
  void onHeartbeatReply(OwnerHeartbeatReply reply, long now) {
    if (!incarnation.hasSent(reply.getSentAt(), now)) {
      return;
    }
    for (ShardHeartbeatReply shardReply : reply.getShards()) {
      ShardReplica replica = replicas.get(shardReply.getShard());
      replica.onHeartbeatReply(reply.getSender(), reply.getSentAt(), shardReply, now);
    }
  }
}
