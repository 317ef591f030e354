package nettletrail.router;

/** The quota tokens that one exchange has acquired, or waits for. */
final class QuotaReservation {
  private long tokens;
  private String tenant;
  private boolean denied;

  /** Tokens that are being collected for the exchange, 0 for none. */
  private long awaitedTokens;

  private String awaitedTenant;

  /** Whether tokens are reserved. */
  boolean isHeld() {
    return tokens > 0;
  }

  void acquired(String tenantName, long acquiredTokens) {
    tokens = acquiredTokens;
    tenant = tenantName;
    awaitedTokens = 0;
  }

  /**
   * The tenant's grants didn't cover the request; tokens are being collected for it from now on.
   */
  void denied(String tenantName, long requestedTokens) {
    denied = true;
    awaitedTokens = requestedTokens;
    awaitedTenant = tenantName;
  }

  /** Whether the tenant's grants ever didn't cover the request. */
  boolean wasDenied() {
    return denied;
  }

  /**
   * The exchange no longer waits for tokens.
   *
   * @return the tenant for whose quota it waited; null if it didn't wait
   */
  String withdraw(QuotaSource quota) {
    if (awaitedTokens == 0) {
      return null;
    }
    quota.withdraw(awaitedTenant, awaitedTokens);
    awaitedTokens = 0;
    return awaitedTenant;
  }

  /** Returns the tokens to the tenant that they were acquired for, if there are any. */
  void refund(QuotaSource quota, long now) {
    if (tokens > 0) {
      quota.refund(tenant, tokens, now);
      tokens = 0;
    }
  }
}
