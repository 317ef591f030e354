package nettletrail.control.grant;

/**
 * A tenant's limit over all doors together.
 *
 * @param ratePerSecond tokens a second; 0 means no limit
 * @param burst tokens beyond the rate
 */
public record QuotaLimit(double ratePerSecond, double burst) {
  /** No limit. */
  public static final QuotaLimit NONE = new QuotaLimit(0, 0);

  /** Whether there is a limit at all. */
  public boolean limited() {
    return ratePerSecond > 0;
  }
}
