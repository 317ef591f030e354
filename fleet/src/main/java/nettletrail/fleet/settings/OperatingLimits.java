package nettletrail.fleet.settings;

import java.time.Duration;

/**
 * The operating limits of the platform's contract with the fleet: the keys {@code bounds.*}. Each
 * has a default for files that leave it out. Times are exact to the nanosecond, whatever the unit
 * of the key.
 *
 * @param membershipLag {@code roster_lag_s}: how far the clients' and backends' endpoint list may
 *     lag behind
 * @param addressReuseDelay {@code reuse_after_s}: time after which the address of a stopped backend
 *     may be assigned to another
 * @param readBackTimeout {@code contact_ms}: how long the operator tries to read the configuration
 *     back at the end of a run
 * @param acknowledgementTimeout {@code receipt_ms}: time within which an operator's change must be
 *     acknowledged
 * @param catchUpTime {@code catch_up_s}: how long a machine still counts as lost after its return
 * @param drain {@code drain_ms}: how long a draining backend still serves
 * @param shutdownGracePeriod {@code grace_s}: time from SIGTERM to SIGKILL
 * @param lossTolerance {@code loss_slack_ms}: tolerance around the instant of a loss
 * @param activationTime {@code in_force_ms}: time within which all doors use an acknowledged
 *     configuration
 * @param deadlineTolerance {@code return_slack_ms}: tolerance for answers after the deadline
 * @param streamGapTolerance {@code stretch_ms}: tolerated lengthening of the gaps within a stream
 * @param revokedClosed {@code revoked_closed}: whether a door that can't confirm its keys rejects
 *     them after {@code keyRevocationTime}
 * @param keyRevocationTime {@code revoke_ms}: how long a partitioned door may still accept a
 *     revoked key
 * @param retryRatio {@code retry_ratio}: retries allowed for each first attempt
 * @param retryWindow {@code retry_window_s}: window over which retries are counted
 * @param retrySlack {@code retry_slack}: retries allowed above the ratio in one window
 * @param quotaWindow {@code quota_window_s}: window over which a tenant's use is counted
 * @param quotaTolerance {@code quota_over}: share of the quota that may be exceeded in one window
 * @param quotaSlack {@code quota_slack}: tokens that may be exceeded in one window
 * @param recoveryTime {@code recover_s}: time within which the level of service is restored after a
 *     loss
 * @param processingTime {@code pass_ms}: time that a request may spend in the fleet itself
 * @param faultRecurrence {@code again_s}: shortest time after which the same fault may recur
 */
public record OperatingLimits(
    Duration membershipLag,
    Duration addressReuseDelay,
    Duration readBackTimeout,
    Duration acknowledgementTimeout,
    Duration catchUpTime,
    Duration drain,
    Duration shutdownGracePeriod,
    Duration lossTolerance,
    Duration activationTime,
    Duration deadlineTolerance,
    Duration streamGapTolerance,
    boolean revokedClosed,
    Duration keyRevocationTime,
    double retryRatio,
    Duration retryWindow,
    long retrySlack,
    Duration quotaWindow,
    double quotaTolerance,
    long quotaSlack,
    Duration recoveryTime,
    Duration processingTime,
    Duration faultRecurrence) {}
