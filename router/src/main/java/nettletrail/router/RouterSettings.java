package nettletrail.router;

/**
 * Settings of the router that don't change while it runs.
 *
 * @param zone failure domain that this door runs in
 * @param retryRatio retries that all doors may make for each request to a service, from 0 to 1
 * @param retrySlack retries that all doors may make in a window in addition, 0 or more
 * @param retryWindowMs window of the retry budget, in ms; at least 1
 * @param maxConnections to clients and backends together; at least 2
 * @param maxBufferedBytes that are held for clients, see {@link BufferMemory}; at least 1
 * @param connectTimeoutMs for connections to backends, in ms; at least 1
 * @param seed of all random choices
 */
public record RouterSettings(
    String zone,
    double retryRatio,
    double retrySlack,
    long retryWindowMs,
    int maxConnections,
    long maxBufferedBytes,
    int connectTimeoutMs,
    long seed) {
  /** Many round trips within a region. */
  public static final int DEFAULT_CONNECT_TIMEOUT_MS = 300;

  /** The usual window of the retry budget. */
  public static final long DEFAULT_RETRY_WINDOW_MS = 10_000;

  /** Settings with the default window of the retry budget. */
  public RouterSettings(
      String zone,
      double retryRatio,
      double retrySlack,
      int maxConnections,
      long maxBufferedBytes,
      int connectTimeoutMs,
      long seed) {
    this(
        zone,
        retryRatio,
        retrySlack,
        DEFAULT_RETRY_WINDOW_MS,
        maxConnections,
        maxBufferedBytes,
        connectTimeoutMs,
        seed);
  }

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of its range
   */
  public RouterSettings {
    if (retryRatio < 0 || retryRatio > 1 || retrySlack < 0) {
      throw new IllegalArgumentException(
          "retries: the ratio is from 0 to 1, the slack not negative");
    }
    if (retryWindowMs < 1 || maxConnections < 2 || maxBufferedBytes < 1 || connectTimeoutMs < 1) {
      throw new IllegalArgumentException("bounds of the router must be positive");
    }
  }
}
