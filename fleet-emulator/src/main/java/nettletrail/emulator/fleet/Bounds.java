package nettletrail.emulator.fleet;

import nettletrail.control.grant.GrantTerms;
import nettletrail.emulator.actors.OrderDocument;
import nettletrail.emulator.judge.QuotaJudge;
import nettletrail.emulator.world.VirtualTime;

/**
 * The times and limits that the fleet promises to keep.
 *
 * @param contact how long nothing may have happened to a machine and the core for bounds to hold,
 *     in nanoseconds
 * @param inForce from an acknowledgement until doors in touch use the configuration, in nanoseconds
 * @param revoke from an acknowledgement until no door takes a removed key, in nanoseconds
 * @param drain from an acknowledgement until no door in touch uses a leaving backend, in
 *     nanoseconds
 * @param recover from the end of all troubles until orders are taken again, in nanoseconds
 * @param catchUp for how long a core machine still counts as lost after its return, in nanoseconds
 * @param beat how often backends call, in nanoseconds
 * @param quotaWindow length of the windows in which use is counted, in nanoseconds
 * @param quotaOver by which part the use may exceed its limit
 * @param quotaSlack by how many tokens it may exceed the limit besides
 */
public record Bounds(
    long contact,
    long inForce,
    long revoke,
    long drain,
    long recover,
    long catchUp,
    long beat,
    long quotaWindow,
    double quotaOver,
    double quotaSlack) {
  private static final long GRANT_VALID_MILLIS = 1_000;

  /** The figures of a typical deployment. */
  public static Bounds typical() {
    return new Bounds(
        3 * VirtualTime.SECOND,
        2 * VirtualTime.SECOND,
        5 * VirtualTime.SECOND,
        2 * VirtualTime.SECOND,
        12 * VirtualTime.SECOND,
        4 * VirtualTime.SECOND,
        1_200 * VirtualTime.MILLISECOND,
        8 * VirtualTime.SECOND,
        0.1,
        190_000);
  }

  /** The same with another time until a configuration is in force. */
  public Bounds withInForce(long value) {
    return new Bounds(
        contact, value, revoke, drain, recover, catchUp, beat, quotaWindow, quotaOver, quotaSlack);
  }

  /** The same with another time until a key is revoked. */
  public Bounds withRevoke(long value) {
    return new Bounds(
        contact, inForce, value, drain, recover, catchUp, beat, quotaWindow, quotaOver, quotaSlack);
  }

  /** The same with another time until a backend is drained. */
  public Bounds withDrain(long value) {
    return new Bounds(
        contact,
        inForce,
        revoke,
        value,
        recover,
        catchUp,
        beat,
        quotaWindow,
        quotaOver,
        quotaSlack);
  }

  /** The same with another window of use. */
  public Bounds withQuotaWindow(long value) {
    return new Bounds(
        contact, inForce, revoke, drain, recover, catchUp, beat, value, quotaOver, quotaSlack);
  }

  /** What the owners of quota are told. */
  GrantTerms grantTerms() {
    double windowSeconds = (double) quotaWindow / VirtualTime.SECOND;
    return new GrantTerms(windowSeconds, quotaOver, quotaSlack, GRANT_VALID_MILLIS);
  }

  /** The limit that the judge holds the tenant's use against. */
  QuotaJudge.Limit quotaLimit() {
    return new QuotaJudge.Limit(
        OrderDocument.RATE_PER_SECOND, OrderDocument.BURST, quotaWindow, quotaOver, quotaSlack);
  }
}
