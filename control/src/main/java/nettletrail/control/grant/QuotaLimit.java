package nettletrail.control.grant;

/**
 * A tenant's rate limit over all doors together.
 *
 * @param ratePerSecond tokens per second, at least 0; 0 means no limit
 * @param burst tokens that may be used beyond the rate at one time, at least 0
 */
public record QuotaLimit(double ratePerSecond, double burst) {
  /** No limit. */
  public static final QuotaLimit NONE = new QuotaLimit(0, 0);

  /** Whether there is a limit at all. */
  public boolean limited() {
    return ratePerSecond > 0;
  }
}
