package nettletrail.control.shard;

import java.util.concurrent.TimeUnit;

/**
 * Times and bounds of the replicated shards. All times are nanoseconds.
 *
 * @param leaseNanos how long a replica that granted a heartbeat promises nothing to other
 *     candidates
 * @param leaseMarginNanos by how much the owner shortens its lease, for clocks of different rates
 * @param heartbeatIntervalNanos period of the owner's heartbeats
 * @param electionStaggerNanos delay between the elections of replicas of successive ranks
 * @param electionTimeoutNanos how long a candidate waits for a majority in each phase
 * @param initialResendIntervalNanos after what time an owner may first send a version to a replica
 *     again
 * @param confirmationIntervalNanos period of the confirmation rounds
 * @param joinRequestIntervalNanos period of the join requests of a process that is no member
 * @param joinRequestValidityNanos how long a join request is valid
 * @param replaceAfterNanos time without contact after which a joiner replaces a member
 * @param replaceUnseenAfterNanos as replaceAfter, for a member that has never answered this owner
 * @param removeAfterNanos time without contact after which a member leaves an even group, or a
 *     group that would tolerate too few further losses with it
 * @param removeSurplusAfterNanos time without contact after which a member leaves a group that is
 *     larger than a full one
 * @param fullGroupSize how many members a group needs to tolerate the configured losses
 * @param bootstrapTimeoutNanos how long after the first start of the system the owner delays writes
 *     while the group is not full
 * @param ownerDiscoveryTimeoutNanos how long an operator's call is kept while no owner is known
 * @param requestTimeoutNanos time-out of an operator's call; its outcome is unknown afterwards
 * @param requestQueueCapacity how many calls may be queued behind the write in flight
 */
public record ShardSettings(
    long leaseNanos,
    long leaseMarginNanos,
    long heartbeatIntervalNanos,
    long electionStaggerNanos,
    long electionTimeoutNanos,
    long initialResendIntervalNanos,
    long confirmationIntervalNanos,
    long joinRequestIntervalNanos,
    long joinRequestValidityNanos,
    long replaceAfterNanos,
    long replaceUnseenAfterNanos,
    long removeAfterNanos,
    long removeSurplusAfterNanos,
    int fullGroupSize,
    long bootstrapTimeoutNanos,
    long ownerDiscoveryTimeoutNanos,
    long requestTimeoutNanos,
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
  private static final long REMOVE_SURPLUS_AFTER_MS = 15_000;
  private static final int FULL_GROUP = 3;
  private static final long BOOTSTRAP_WAIT_MS = 2_000;
  private static final long OWNER_WAIT_MS = 700;
  private static final long REQUEST_TIMEOUT_MS = 900;
  private static final int REQUEST_QUEUE_CAPACITY = 64;

  /**
   * Checks the settings against each other.
   *
   * @throws IllegalArgumentException if the lease does not outlast two heartbeats and its margin,
   *     or ownerWait exceeds requestTimeout
   */
  public ShardSettings {
    if (heartbeatIntervalNanos <= 0
        || leaseNanos < 2 * heartbeatIntervalNanos
        || leaseMarginNanos < 0
        || leaseMarginNanos >= leaseNanos / 2) {
      throw new IllegalArgumentException("lease must outlast two heartbeats and its margin");
    }
    if (ownerDiscoveryTimeoutNanos > requestTimeoutNanos) {
      throw new IllegalArgumentException("ownerWait must not exceed requestTimeout");
    }
  }

  /** The values of the design note. */
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
        millis(REMOVE_SURPLUS_AFTER_MS),
        FULL_GROUP,
        millis(BOOTSTRAP_WAIT_MS),
        millis(OWNER_WAIT_MS),
        millis(REQUEST_TIMEOUT_MS),
        REQUEST_QUEUE_CAPACITY);
  }

  /** These settings for a system that tolerates the loss of so many core machines at once. */
  public ShardSettings tolerating(int machines) {
    return new ShardSettings(
        leaseNanos,
        leaseMarginNanos,
        heartbeatIntervalNanos,
        electionStaggerNanos,
        electionTimeoutNanos,
        initialResendIntervalNanos,
        confirmationIntervalNanos,
        joinRequestIntervalNanos,
        joinRequestValidityNanos,
        replaceAfterNanos,
        replaceUnseenAfterNanos,
        removeAfterNanos,
        removeSurplusAfterNanos,
        2 * machines + 1,
        bootstrapTimeoutNanos,
        ownerDiscoveryTimeoutNanos,
        requestTimeoutNanos,
        requestQueueCapacity);
  }

  /** How many members a full group tolerates to lose. */
  int toleratedLosses() {
    return (fullGroupSize - 1) / 2;
  }

  private static long millis(long value) {
    return TimeUnit.MILLISECONDS.toNanos(value);
  }
}
