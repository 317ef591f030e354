package nettletrail.control.grant;

/**
 * The bound that all grants of a tenant keep together, and how long a grant is valid. In any window
 * a tenant may use (rate x window + burst) x (1 + {@code overshootFraction}) + {@code slackTokens}.
 *
 * @param windowSeconds length of the windows over which use is summed, in seconds
 * @param overshootFraction by how much a window may exceed rate x window + burst, as a fraction
 * @param slackTokens tokens that a window may hold in addition, whatever the limit
 * @param validMs longest validity of a grant in milliseconds, on the door's clock and counted from
 *     before it sent the request
 */
public record GrantTerms(
    double windowSeconds, double overshootFraction, double slackTokens, long validMs) {
  /**
   * The usual validity of a grant in milliseconds. Each further second lowers the capacity that is
   * left below the bound by one second of the rate.
   */
  public static final long USUAL_VALID_MS = 1_000;

  /** Fraction of the allowed overshoot that is granted; the rest covers requests in flight. */
  private static final double USED_OVERSHOOT_FRACTION = 0.9;

  /** The rates of two machines' clocks differ by at most this fraction. */
  private static final double MAX_CLOCK_DRIFT = 0.01;

  private static final long EXPIRY_MARGIN_MS = 20;
  private static final long MIN_VALID_MS = 100;
  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * How long a grant under this limit is valid, in milliseconds: {@link #validMs}, or less where
   * tokens of two successive owners would otherwise exceed the bound.
   */
  public long validMs(QuotaLimit limit) {
    if (!limit.limited()) {
      return validMs;
    }
    double boundMs = usedOvershoot(limit) / limit.ratePerSecond() * MILLIS_PER_SECOND;
    double valid = (boundMs - EXPIRY_MARGIN_MS) / (1 + MAX_CLOCK_DRIFT);
    return Math.max(MIN_VALID_MS, Math.min(validMs, (long) valid));
  }

  /**
   * How long the owner counts a grant under this limit as outstanding, in milliseconds from its
   * reply: the validity with the drift of the door's clock and a margin.
   */
  public long outstandingMs(QuotaLimit limit) {
    return (long) Math.ceil(validMs(limit) * (1 + MAX_CLOCK_DRIFT)) + EXPIRY_MARGIN_MS;
  }

  /**
   * Upper bound of a bucket's level plus its outstanding grants, in tokens. Under one owner a
   * window holds at most this and rate x window. A change of owner adds what the new owner refills
   * while grants of the old one are still valid, so that amount is subtracted here.
   */
  public double capacity(QuotaLimit limit) {
    double refilledByNextOwner = limit.ratePerSecond() * outstandingMs(limit) / MILLIS_PER_SECOND;
    return Math.max(0, limit.burst() + usedOvershoot(limit) - refilledByNextOwner);
  }

  /** What grants may take of the tokens that a window may hold beyond rate x window + burst. */
  private double usedOvershoot(QuotaLimit limit) {
    double nominal = limit.ratePerSecond() * windowSeconds + limit.burst();
    return USED_OVERSHOOT_FRACTION * (overshootFraction * nominal + slackTokens);
  }
}
