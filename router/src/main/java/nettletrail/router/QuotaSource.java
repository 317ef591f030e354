package nettletrail.router;

/**
 * The quota tokens that were granted to this door for each tenant. Called on the router's event
 * loop; {@code now} is in ns of the steady clock.
 */
public interface QuotaSource {
  /**
   * Acquires tokens: all, or none if the grants don't cover them.
   *
   * @return whether they were acquired; always true for a tenant without a rate limit
   */
  boolean tryAcquire(String tenant, long tokens, long now);

  /**
   * A request that found too few tokens has left the queue without them. Tokens are collected for
   * it no longer; other requests of the tenant that still wait have to be tried again.
   */
  void withdraw(String tenant, long tokens);

  /** Returns tokens that were acquired for a request which no backend ran. */
  void refund(String tenant, long tokens, long now);

  /**
   * The tenant's pressure: its use at all doors together, in per cent of its rate. Above 100 while
   * its demand exceeds the rate.
   */
  double pressurePercent(String tenant);

  /** Number of doors that serve requests of this tenant, this one included; at least 1. */
  int doorsServing(String tenant);
}
