package nettletrail.emulator.fleet;

import nettletrail.control.grant.GrantTerms;
import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.checker.QuotaChecker;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * The times and limits that the fleet promises to keep.
 *
 * @param contact how long nothing may have happened to a machine and the core for bounds to hold,
 *     in nanoseconds
 * @param activation from an acknowledgement until doors in touch use the configuration, in
 *     nanoseconds
 * @param revoke from an acknowledgement until no door takes a removed key, in nanoseconds
 * @param drain from an acknowledgement until no door in touch uses a leaving backend, in
 *     nanoseconds
 * @param recover from the end of all troubles until orders are taken again, in nanoseconds
 * @param catchUp for how long a core machine still counts as lost after its return, in nanoseconds
 * @param heartbeat how often backends call, in nanoseconds
 * @param quotaWindow length of the windows in which use is counted, in nanoseconds
 * @param quotaOver by which part the use may exceed its limit
 * @param quotaSlack by how many tokens it may exceed the limit besides
 */
public record GuaranteeLimits(
    long contact,
    long activation,
    long revoke,
    long drain,
    long recover,
    long catchUp,
    long heartbeat,
    long quotaWindow,
    double quotaOver,
    double quotaSlack) {
  private static final long GRANT_VALID_MILLIS = 1_000;

  private static final long CONTACT = 3 * VirtualTime.SECOND;
  private static final long IN_FORCE = 2 * VirtualTime.SECOND;
  private static final long REVOKE = 5 * VirtualTime.SECOND;
  private static final long DRAIN = 2 * VirtualTime.SECOND;
  private static final long RECOVER = 12 * VirtualTime.SECOND;
  private static final long CATCH_UP = 4 * VirtualTime.SECOND;
  private static final long LARGE_CONTACT = 4 * VirtualTime.SECOND;
  private static final long LARGE_IN_FORCE = 2_500 * VirtualTime.MILLISECOND;
  private static final long LARGE_DRAIN = 2_500 * VirtualTime.MILLISECOND;
  private static final long LARGE_RECOVER = 15 * VirtualTime.SECOND;
  private static final long LARGE_CATCH_UP = 6 * VirtualTime.SECOND;
  private static final long HEARTBEAT = 1_200 * VirtualTime.MILLISECOND;
  private static final long QUOTA_WINDOW = 8 * VirtualTime.SECOND;
  private static final double QUOTA_OVER = 0.1;
  private static final double QUOTA_SLACK = 190_000;

  /** The figures of a deployment with three core machines. */
  public static GuaranteeLimits typical() {
    return new GuaranteeLimits(
        CONTACT,
        IN_FORCE,
        REVOKE,
        DRAIN,
        RECOVER,
        CATCH_UP,
        HEARTBEAT,
        QUOTA_WINDOW,
        QUOTA_OVER,
        QUOTA_SLACK);
  }

  /** The figures of a deployment with five core machines and many doors. */
  public static GuaranteeLimits large() {
    return new GuaranteeLimits(
        LARGE_CONTACT,
        LARGE_IN_FORCE,
        REVOKE,
        LARGE_DRAIN,
        LARGE_RECOVER,
        LARGE_CATCH_UP,
        HEARTBEAT,
        QUOTA_WINDOW,
        QUOTA_OVER,
        QUOTA_SLACK);
  }

  /** The same with another time until a configuration is in force. */
  public GuaranteeLimits withInForce(long value) {
    return new GuaranteeLimits(
        contact,
        value,
        revoke,
        drain,
        recover,
        catchUp,
        heartbeat,
        quotaWindow,
        quotaOver,
        quotaSlack);
  }

  /** The same with another time until a key is revoked. */
  public GuaranteeLimits withRevoke(long value) {
    return new GuaranteeLimits(
        contact,
        activation,
        value,
        drain,
        recover,
        catchUp,
        heartbeat,
        quotaWindow,
        quotaOver,
        quotaSlack);
  }

  /** The same with another time until a backend is drained. */
  public GuaranteeLimits withDrain(long value) {
    return new GuaranteeLimits(
        contact,
        activation,
        revoke,
        value,
        recover,
        catchUp,
        heartbeat,
        quotaWindow,
        quotaOver,
        quotaSlack);
  }

  /** The same with another window of use. */
  public GuaranteeLimits withQuotaWindow(long value) {
    return new GuaranteeLimits(
        contact,
        activation,
        revoke,
        drain,
        recover,
        catchUp,
        heartbeat,
        value,
        quotaOver,
        quotaSlack);
  }

  /** What the owners of quota are told. */
  GrantTerms grantTerms() {
    double windowSeconds = (double) quotaWindow / VirtualTime.SECOND;
    return new GrantTerms(windowSeconds, quotaOver, quotaSlack, GRANT_VALID_MILLIS);
  }

  /** The limit that the judge holds the tenant's use against. */
  QuotaChecker.Limit quotaLimit() {
    return new QuotaChecker.Limit(
        ChangeDocument.RATE_PER_SECOND, ChangeDocument.BURST, quotaWindow, quotaOver, quotaSlack);
  }
}
