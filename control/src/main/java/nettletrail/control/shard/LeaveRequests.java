package nettletrail.control.shard;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import nettletrail.protocol.LeaveReply;
import nettletrail.protocol.LeaveRequest;
import nettletrail.protocol.Member;

/**
 * Requests to leave the shards' groups. A process that shuts down for good, since its successor has
 * joined, would else count as a member until it is missed, and the group would tolerate one loss
 * less meanwhile.
 *
 * <p>Sent at a graceful shutdown for each shard whose group is larger than a full one, and repeated
 * until the owner has answered. The owner answers once it has no change of the group left to make:
 * the process is removed only if the group would tolerate few losses with it, so that a restart of
 * one of many doesn't change the group.
 */
final class LeaveRequests {

  private static final long REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final List<ShardReplica> replicas;
  private final Member self;
  private final ShardSettings settings;
  private final ActionQueue actionQueue;

  /** The shards for which this process waits for an answer. */
  private final Set<Integer> unanswered = new TreeSet<>();

  private boolean leaving;
  private long nextRequestAt;

  LeaveRequests(
      List<ShardReplica> replicas, Member self, ShardSettings settings, ActionQueue actionQueue) {
    this.replicas = replicas;
    this.self = self;
    this.settings = settings;
    this.actionQueue = actionQueue;
  }

  /** This process is shutting down. */
  void start(long now) {
    leaving = true;
    for (int shard = 0; shard < replicas.size(); shard++) {
      ReplicaGroup group = replicas.get(shard).group();
      if (group.contains(self.getId()) && group.size() > settings.fullGroupSize()) {
        unanswered.add(shard);
      }
    }
    nextRequestAt = now;
    tick(now);
  }

  /** True once {@link #start} was called. */
  boolean isLeaving() {
    return leaving;
  }

  /** True if this process waits for no answer. */
  boolean isSettled() {
    return unanswered.isEmpty();
  }

  /** Sends the requests when they are due. */
  void tick(long now) {
    unanswered.removeIf(shard -> replicas.get(shard).hasRemovedItself());
    if (unanswered.isEmpty() || now < nextRequestAt) {
      return;
    }
    nextRequestAt = now + REQUEST_INTERVAL_NANOS;
    for (int shard : unanswered) {
      LeaveRequest request = new LeaveRequest(shard, self);
      for (Member member : replicas.get(shard).group().members()) {
        actionQueue.send(member.getAddress(), request);
      }
    }
  }

  /** A member asks to leave; only the owner of the shard takes note and answers. */
  void onRequest(String peerAddress, LeaveRequest request, long now) {
    Member member = request.getMember();
    if (replicas.get(request.getShard()).onLeaveRequest(member, now)) {
      actionQueue.send(peerAddress, new LeaveReply(request.getShard(), member.getId()));
    }
  }

  /** An owner has handled a request. */
  void onReply(LeaveReply reply) {
    if (reply.getMember().equals(self.getId())) {
      unanswered.remove(reply.getShard());
    }
  }
}
