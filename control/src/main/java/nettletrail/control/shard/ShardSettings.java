package nettletrail.control.shard;

import java.util.concurrent.TimeUnit;

/**
 * Times and bounds of the replicated shards. All times are nanoseconds.
 *
 * @param lease how long a replica that answered a heartbeat promises itself to no other owner
 * @param leaseMargin what the holder takes off for clocks that run at different rates
 * @param heartbeat period of the owner's heartbeats
 * @param electionStagger how much later each further replica stands for election
 * @param electionTimeout how long a candidate waits for a majority in each of its two rounds
 * @param resend how long an owner waits before it sends a version to a replica once more
 * @param confirm period of the rounds that confirm the newest version with a majority
 * @param join period at which a process that is no member asks to be one
 * @param joinerFresh how long a request to join counts
 * @param replaceAfter silence after which a member makes way for a joiner
 * @param removeAfter silence after which a member leaves a group of an even size
 * @param orderHold how long an operator's call waits for an owner to be known
 * @param orderTimeout how long an operator's call may take before its outcome counts as unknown
 * @param orderQueue how many calls may wait for a write in progress
 */
public record ShardSettings(
    long lease,
    long leaseMargin,
    long heartbeat,
    long electionStagger,
    long electionTimeout,
    long resend,
    long confirm,
    long join,
    long joinerFresh,
    long replaceAfter,
    long removeAfter,
    long orderHold,
    long orderTimeout,
    int orderQueue) {

  /** Checks that a lease outlasts some heartbeats and its margin. */
  public ShardSettings {
    if (heartbeat <= 0 || lease < 2 * heartbeat || leaseMargin < 0 || leaseMargin >= lease / 2) {
      throw new IllegalArgumentException("lease must outlast two heartbeats and its margin");
    }
    if (orderHold > orderTimeout) {
      throw new IllegalArgumentException("orderHold must not exceed orderTimeout");
    }
  }

  /** The values that the design note names. */
  public static ShardSettings defaults() {
    return new ShardSettings(
        millis(1200),
        millis(50),
        millis(250),
        millis(150),
        millis(500),
        millis(500),
        millis(250),
        millis(500),
        millis(1500),
        millis(2500),
        millis(3000),
        millis(700),
        millis(900),
        64);
  }

  private static long millis(long value) {
    return TimeUnit.MILLISECONDS.toNanos(value);
  }
}
