package nettletrail.fleet.settings;

import java.time.Duration;

/**
 * The figures of the rules. Each has a default for files that leave it out; fractions are kept to
 * the nanosecond.
 *
 * @param rosterLag how far the callers' list of machines runs behind
 * @param reuseAfter how soon the address of a backend that ended may go to another
 * @param contact how long the operator asks for the configuration at the end
 * @param receipt how soon a call of the operator must be acknowledged
 * @param catchUp how long a machine counts as lost after its return
 * @param drain how long a backend that leaves still serves
 * @param grace time from SIGTERM to SIGKILL
 * @param lossSlack tolerance around a loss
 * @param inForce how soon an acknowledged configuration is used by all doors
 * @param returnSlack tolerance for answers after the deadline
 * @param stretch tolerated lengthening of a stream's gaps
 * @param revokedClosed true if a door that can't confirm the keys refuses them after {@code revoke}
 * @param revoke how long a revoked key may still be used by a door that is cut off
 * @param retryRatio retries allowed for each first send
 * @param retryWindow window over which retries are counted
 * @param retrySlack retries allowed above the ratio in one window
 * @param quotaWindow window over which a tenant's use is counted
 * @param quotaOver share of the quota that may be exceeded in one window
 * @param quotaSlack tokens that may be exceeded in one window
 * @param recover how soon service is as before after a loss
 * @param pass time that a request may spend in the fleet itself
 * @param again pause after which the same trouble may return
 */
public record Bounds(
    Duration rosterLag,
    Duration reuseAfter,
    Duration contact,
    Duration receipt,
    Duration catchUp,
    Duration drain,
    Duration grace,
    Duration lossSlack,
    Duration inForce,
    Duration returnSlack,
    Duration stretch,
    boolean revokedClosed,
    Duration revoke,
    double retryRatio,
    Duration retryWindow,
    long retrySlack,
    Duration quotaWindow,
    double quotaOver,
    long quotaSlack,
    Duration recover,
    Duration pass,
    Duration again) {}
