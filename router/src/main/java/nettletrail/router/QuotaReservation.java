package nettletrail.router;

/** The quota tokens that one exchange has acquired. */
final class QuotaReservation {
  private long tokens;
  private String tenant;
  private boolean denied;

  /** Whether tokens are reserved. */
  boolean isHeld() {
    return tokens > 0;
  }

  void acquired(String tenantName, long acquiredTokens) {
    tokens = acquiredTokens;
    tenant = tenantName;
  }

  /** The tenant's grants didn't cover the request. */
  void denied() {
    denied = true;
  }

  /** Whether the tenant's grants ever didn't cover the request. */
  boolean wasDenied() {
    return denied;
  }

  /** Returns the tokens to the tenant that they were acquired for, if there are any. */
  void refund(QuotaSource quota, long now) {
    if (tokens > 0) {
      quota.refund(tenant, tokens, now);
      tokens = 0;
    }
  }
}
