package nettletrail.router;

/**
 * What the router is told at its start.
 *
 * @param zone where this door stands
 * @param retryRatio further sends that all doors may make for each request to a service, from 0 to
 *     1
 * @param retrySlack further sends that all doors may make beside, in a window
 * @param retryWindowMs of these two
 * @param maxConnections sockets to clients and backends together, at most
 * @param maxBufferedBytes bytes of requests that are held at once, at most
 * @param connectTimeoutMs after which a connection to a backend that is not up has failed
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
  /** Many times the way there and back within a region. */
  public static final int DEFAULT_CONNECT_TIMEOUT_MS = 300;

  /** The window of the deployments that are known. */
  public static final long DEFAULT_RETRY_WINDOW_MS = 10_000;

  /** With the usual window of retries. */
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

  /** Checks the ranges. */
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
