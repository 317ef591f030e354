package nettletrail.emulator.fleet;

import nettletrail.control.grant.GrantTerms;
import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.checker.QuotaChecker;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * The limits within which the guarantees of a fleet hold, and the settings that they depend on.
 *
 * @param stablePeriodNanos for how long a machine and the core must have had no fault for the
 *     limits on time to hold
 * @param activationNanos maximum time from an acknowledgement until stable doors use the
 *     configuration
 * @param keyRevocationNanos maximum time from an acknowledgement until no door accepts a removed
 *     key
 * @param drainNanos maximum time from an acknowledgement until no stable door uses a closing
 *     backend
 * @param recoveryNanos maximum time from the end of all faults until a change is acknowledged
 * @param catchUpNanos for how long a core machine counts as lost after its return
 * @param heartbeatNanos interval of the heartbeats of backends
 * @param quotaWindowNanos length of the sliding windows over which use is summed up
 * @param quotaTolerance fraction by which the use in a window may exceed its limit
 * @param quotaSlackTokens tokens by which it may exceed the limit in addition
 */
public record GuaranteeLimits(
    long stablePeriodNanos,
    long activationNanos,
    long keyRevocationNanos,
    long drainNanos,
    long recoveryNanos,
    long catchUpNanos,
    long heartbeatNanos,
    long quotaWindowNanos,
    double quotaTolerance,
    double quotaSlackTokens) {
  private static final long GRANT_VALID_MILLIS = 1_000;

  private static final long STABLE_PERIOD = 3 * VirtualTime.SECOND;
  private static final long ACTIVATION = 2 * VirtualTime.SECOND;
  private static final long KEY_REVOCATION = 5 * VirtualTime.SECOND;
  private static final long DRAIN = 2 * VirtualTime.SECOND;
  private static final long RECOVERY = 12 * VirtualTime.SECOND;
  private static final long CATCH_UP = 4 * VirtualTime.SECOND;
  private static final long LARGE_STABLE_PERIOD = 4 * VirtualTime.SECOND;
  private static final long LARGE_ACTIVATION = 2_500 * VirtualTime.MILLISECOND;
  private static final long LARGE_DRAIN = 2_500 * VirtualTime.MILLISECOND;
  private static final long LARGE_RECOVERY = 15 * VirtualTime.SECOND;
  private static final long LARGE_CATCH_UP = 6 * VirtualTime.SECOND;
  private static final long HEARTBEAT = 1_200 * VirtualTime.MILLISECOND;
  private static final long QUOTA_WINDOW = 8 * VirtualTime.SECOND;
  private static final double QUOTA_TOLERANCE = 0.1;
  private static final double QUOTA_SLACK_TOKENS = 190_000;

  /** The limits of a deployment with three core machines. */
  public static GuaranteeLimits typical() {
    return new GuaranteeLimits(
        STABLE_PERIOD,
        ACTIVATION,
        KEY_REVOCATION,
        DRAIN,
        RECOVERY,
        CATCH_UP,
        HEARTBEAT,
        QUOTA_WINDOW,
        QUOTA_TOLERANCE,
        QUOTA_SLACK_TOKENS);
  }

  /** The limits of a deployment with five core machines and many doors. */
  public static GuaranteeLimits large() {
    return new GuaranteeLimits(
        LARGE_STABLE_PERIOD,
        LARGE_ACTIVATION,
        KEY_REVOCATION,
        LARGE_DRAIN,
        LARGE_RECOVERY,
        LARGE_CATCH_UP,
        HEARTBEAT,
        QUOTA_WINDOW,
        QUOTA_TOLERANCE,
        QUOTA_SLACK_TOKENS);
  }

  /** A copy with another time until a configuration is active. */
  public GuaranteeLimits withActivation(long value) {
    return new GuaranteeLimits(
        stablePeriodNanos,
        value,
        keyRevocationNanos,
        drainNanos,
        recoveryNanos,
        catchUpNanos,
        heartbeatNanos,
        quotaWindowNanos,
        quotaTolerance,
        quotaSlackTokens);
  }

  /** A copy with another time until a key is revoked. */
  public GuaranteeLimits withKeyRevocation(long value) {
    return new GuaranteeLimits(
        stablePeriodNanos,
        activationNanos,
        value,
        drainNanos,
        recoveryNanos,
        catchUpNanos,
        heartbeatNanos,
        quotaWindowNanos,
        quotaTolerance,
        quotaSlackTokens);
  }

  /** A copy with another time until a backend is drained. */
  public GuaranteeLimits withDrain(long value) {
    return new GuaranteeLimits(
        stablePeriodNanos,
        activationNanos,
        keyRevocationNanos,
        value,
        recoveryNanos,
        catchUpNanos,
        heartbeatNanos,
        quotaWindowNanos,
        quotaTolerance,
        quotaSlackTokens);
  }

  /** A copy with another quota window. */
  public GuaranteeLimits withQuotaWindow(long value) {
    return new GuaranteeLimits(
        stablePeriodNanos,
        activationNanos,
        keyRevocationNanos,
        drainNanos,
        recoveryNanos,
        catchUpNanos,
        heartbeatNanos,
        value,
        quotaTolerance,
        quotaSlackTokens);
  }

  /** The terms that core processes grant quota by. */
  GrantTerms grantTerms() {
    double windowSeconds = (double) quotaWindowNanos / VirtualTime.SECOND;
    return new GrantTerms(windowSeconds, quotaTolerance, quotaSlackTokens, GRANT_VALID_MILLIS);
  }

  /** The limit that the checker applies to the tenant's use. */
  QuotaChecker.Limit quotaLimit() {
    return new QuotaChecker.Limit(
        ChangeDocument.RATE_PER_SECOND,
        ChangeDocument.BURST,
        quotaWindowNanos,
        quotaTolerance,
        quotaSlackTokens);
  }
}
