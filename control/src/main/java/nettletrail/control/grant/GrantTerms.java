package nettletrail.control.grant;

/**
 * The bound that all grants together keep, and how long a grant holds.
 *
 * @param windowSeconds length of the windows in which use is summed
 * @param overPart part of (rate x window + burst) that a window may hold beyond that
 * @param slackTokens tokens that a window may hold besides
 * @param validMs how long a grant holds, on the holder's clock from before it asked
 */
public record GrantTerms(double windowSeconds, double overPart, double slackTokens, long validMs) {
  /**
   * How long a grant usually holds, in milliseconds. Each second more takes the rate of a second
   * off what the bound leaves.
   */
  public static final long USUAL_VALID_MS = 1_000;

  /** Part of what the bound leaves that is used; the rest is for requests on their way. */
  private static final double USED_PART = 0.9;

  /** Clocks of two machines run alike to this part. */
  private static final double CLOCK_DRIFT = 0.01;

  private static final long EXPIRY_MARGIN_MS = 20;
  private static final long SHORTEST_VALID_MS = 100;
  private static final double MILLIS_A_SECOND = 1_000;

  /**
   * How long a grant of this tenant holds, in milliseconds: {@link #validMs}, or less where the
   * bound leaves too little for a change of owner otherwise.
   */
  public long validMs(QuotaLimit limit) {
    if (!limit.limited()) {
      return validMs;
    }
    double bearable = allowed(limit) / limit.ratePerSecond() * MILLIS_A_SECOND;
    double valid = (bearable - EXPIRY_MARGIN_MS) / (1 + CLOCK_DRIFT);
    return Math.max(SHORTEST_VALID_MS, Math.min(validMs, (long) valid));
  }

  /**
   * How long the giver counts a grant of this tenant as outstanding after it answered, in
   * milliseconds.
   */
  public long outstandingMs(QuotaLimit limit) {
    return (long) Math.ceil(validMs(limit) * (1 + CLOCK_DRIFT)) + EXPIRY_MARGIN_MS;
  }

  /**
   * Most that level and outstanding grants of a tenant may come to. In any window at most this and
   * rate x window can be used under one owner; a change of owner adds what the new one refills
   * while old grants last, which is taken off beforehand.
   */
  public double capacity(QuotaLimit limit) {
    double change = limit.ratePerSecond() * outstandingMs(limit) / MILLIS_A_SECOND;
    return Math.max(0, limit.burst() + allowed(limit) - change);
  }

  /** What a window may hold beyond rate x window + burst, as far as it is used. */
  private double allowed(QuotaLimit limit) {
    double owed = limit.ratePerSecond() * windowSeconds + limit.burst();
    return USED_PART * (overPart * owed + slackTokens);
  }
}
