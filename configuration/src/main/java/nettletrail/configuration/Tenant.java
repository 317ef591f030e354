package nettletrail.configuration;

import java.util.Set;

/**
 * A sender of requests, known by its keys.
 *
 * @param name unique among tenants
 * @param keys the keys that stand for it
 * @param priority takes precedence over that of the route; {@link #NO_PRIORITY} if absent
 * @param countsTokens whether rate and burst are measured in tokens rather than requests
 * @param plainTokens the tokens that a request without a token count is charged
 * @param ratePerSecond what it may use a second; 0 for no limit
 * @param burst what it may use beyond the rate
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
