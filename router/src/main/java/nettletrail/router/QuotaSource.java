package nettletrail.router;

/**
 * The tokens of tenants' quotas that were granted to this door. On the router's event loop; {@code
 * now} is in ns.
 */
public interface QuotaSource {
  /**
   * Spends tokens, or none if the grants don't cover them all.
   *
   * @return whether they were spent; always true for a tenant without a limit
   */
  boolean take(String tenant, long tokens, long now);

  /** Returns tokens that were taken for a request which no backend ran. */
  void refund(String tenant, long tokens, long now);

  /**
   * How much of the tenant's rate all doors together use, in percent; above 100 it asks for more
   * than it has.
   */
  double pressurePercent(String tenant);

  /** Doors that serve requests of this tenant, this one included; at least 1. */
  int doorsServing(String tenant);
}
