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
 * @param replaceUnheardAfter as replaceAfter, for a member that has never answered this owner
 * @param removeAfter silence after which a member leaves a group of an even size
 * @param fullGroup how many members a group needs to bear the losses that the system withstands
 * @param bootstrapWait how long after the first start of the whole system the owner holds orders
 *     until the group is full
 * @param ownerWait how long an operator's call waits for an owner to be known
 * @param requestTimeout how long an operator's call may take before its outcome counts as unknown
 * @param requestQueueCapacity how many calls may wait for a write in progress
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
    long replaceUnheardAfter,
    long removeAfter,
    int fullGroup,
    long bootstrapWait,
    long ownerWait,
    long requestTimeout,
    int requestQueueCapacity) {

  private static final long LEASE_MS = 1_200;
  private static final long LEASE_MARGIN_MS = 50;
  private static final long HEARTBEAT_MS = 250;
  private static final long ELECTION_STAGGER_MS = 150;
  private static final long ELECTION_TIMEOUT_MS = 500;
  private static final long RESEND_MS = 500;
  private static final long CONFIRM_MS = 250;
  private static final long JOIN_MS = 500;
  private static final long JOINER_FRESH_MS = 1_500;
  private static final long REPLACE_AFTER_MS = 2_500;
  private static final long REPLACE_UNHEARD_AFTER_MS = 1_000;
  private static final long REMOVE_AFTER_MS = 3_000;
  private static final int FULL_GROUP = 3;
  private static final long BOOTSTRAP_WAIT_MS = 2_000;
  private static final long OWNER_WAIT_MS = 700;
  private static final long REQUEST_TIMEOUT_MS = 900;
  private static final int REQUEST_QUEUE_CAPACITY = 64;

  /** Checks that a lease outlasts some heartbeats and its margin. */
  public ShardSettings {
    if (heartbeat <= 0 || lease < 2 * heartbeat || leaseMargin < 0 || leaseMargin >= lease / 2) {
      throw new IllegalArgumentException("lease must outlast two heartbeats and its margin");
    }
    if (ownerWait > requestTimeout) {
      throw new IllegalArgumentException("orderHold must not exceed orderTimeout");
    }
  }

  /** The values that the design note names. */
  public static ShardSettings defaults() {
    return new ShardSettings(
        millis(LEASE_MS),
        millis(LEASE_MARGIN_MS),
        millis(HEARTBEAT_MS),
        millis(ELECTION_STAGGER_MS),
        millis(ELECTION_TIMEOUT_MS),
        millis(RESEND_MS),
        millis(CONFIRM_MS),
        millis(JOIN_MS),
        millis(JOINER_FRESH_MS),
        millis(REPLACE_AFTER_MS),
        millis(REPLACE_UNHEARD_AFTER_MS),
        millis(REMOVE_AFTER_MS),
        FULL_GROUP,
        millis(BOOTSTRAP_WAIT_MS),
        millis(OWNER_WAIT_MS),
        millis(REQUEST_TIMEOUT_MS),
        REQUEST_QUEUE_CAPACITY);
  }

  /** The same for a system that withstands the loss of so many core machines at once. */
  public ShardSettings withstanding(int machines) {
    return new ShardSettings(
        lease,
        leaseMargin,
        heartbeat,
        electionStagger,
        electionTimeout,
        resend,
        confirm,
        join,
        joinerFresh,
        replaceAfter,
        replaceUnheardAfter,
        removeAfter,
        2 * machines + 1,
        bootstrapWait,
        ownerWait,
        requestTimeout,
        requestQueueCapacity);
  }

  private static long millis(long value) {
    return TimeUnit.MILLISECONDS.toNanos(value);
  }
}
