package nettletrail.control.shard;

import java.util.SplittableRandom;

/**
 * When a replica may start its next election. Replicas start one after the other, staggered by
 * their ranks for the shard, with a random delay so that two candidates don't collide repeatedly.
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

  /** True if the replica should start an election, unless it is no follower. */
  boolean isDue(long now) {
    return now >= dueAt;
  }

  /** Sets the timer to this replica's turn after an instant, plus a random delay. */
  void postpone(ReplicaGroup group, long from) {
    dueAt = from + stagger(group) + random.nextLong(settings.electionStaggerNanos() / 2);
  }

  /**
   * Sets the timer as {@link #postpone} does, after a lost election: with a further random backoff.
   */
  void retry(ReplicaGroup group, long now) {
    postpone(group, now + random.nextLong(2 * settings.electionStaggerNanos()));
  }

  /** Sets the timer to this replica's turn, without a random delay: the lease was released. */
  void advance(ReplicaGroup group, long now) {
    dueAt = now + stagger(group);
  }

  /** Delays the timer so that a candidate with this replica's promise has the time to win. */
  void deferToCandidate(ReplicaGroup group, long now) {
    dueAt = Math.max(dueAt, now + settings.electionTimeoutNanos() + stagger(group));
  }

  private long stagger(ReplicaGroup group) {
    return group.rendezvousRank(shard, address) * settings.electionStaggerNanos();
  }
}
