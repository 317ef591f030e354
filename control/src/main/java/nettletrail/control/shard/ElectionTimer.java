package nettletrail.control.shard;

import java.util.SplittableRandom;

/**
 * When a replica stands for election next. Replicas stand one after the other, in the order of
 * their ranks for the shard, with some randomness so that two that collided don't collide again.
 */
final class ElectionTimer {

  private final int shard;
  private final String address;
  private final ShardSettings settings;
  private final SplittableRandom random;
  private long dueAt;

  ElectionTimer(int shard, String address, ShardSettings settings, SplittableRandom random) {
    this.shard = shard;
    this.address = address;
    this.settings = settings;
    this.random = random;
  }

  boolean isDue(long now) {
    return now >= dueAt;
  }

  /** Stands in this replica's turn after an instant. */
  void postpone(ReplicaGroup group, long from) {
    dueAt = from + stagger(group) + random.nextLong(settings.electionStagger() / 2);
  }

  /**
   * As {@link #postpone}, after a lost election: later by a while that differs between candidates.
   */
  void retry(ReplicaGroup group, long now) {
    postpone(group, now + random.nextLong(2 * settings.electionStagger()));
  }

  /** Stands in this replica's turn, without randomness: the owner has given its lease back. */
  void advance(ReplicaGroup group, long now) {
    dueAt = now + stagger(group);
  }

  /** Leaves a candidate, to whom this replica has promised its vote, the time to win. */
  void deferToCandidate(ReplicaGroup group, long now) {
    dueAt = Math.max(dueAt, now + settings.electionTimeout() + stagger(group));
  }

  private long stagger(ReplicaGroup group) {
    return group.rendezvousRank(shard, address) * settings.electionStagger();
  }
}
