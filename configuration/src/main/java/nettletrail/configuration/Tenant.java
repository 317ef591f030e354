package nettletrail.configuration;

import java.util.Set;

/**
 * A tenant: a sender of requests, identified by its keys.
 *
 * @param name unique among tenants
 * @param keys the API keys that identify it; unique among all tenants
 * @param priority takes precedence over that of the route; {@link #NO_PRIORITY} if absent
 * @param countsTokens whether rate and burst are in tokens rather than requests
 * @param plainTokens what a request without a token count costs, in tokens
 * @param ratePerSecond its rate limit, in tokens or requests a second; 0 for no limit
 * @param burst what it may use at once beyond the rate, in tokens or requests
 */
public record Tenant(
    String name,
    Set<String> keys,
    int priority,
    boolean countsTokens,
    long plainTokens,
    double ratePerSecond,
    double burst) {
  /** The priority of a tenant that states none. */
  public static final int NO_PRIORITY = -1;

  /** Copies the set of keys. */
  public Tenant {
    keys = Set.copyOf(keys);
  }
}
