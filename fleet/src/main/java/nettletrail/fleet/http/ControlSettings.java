package nettletrail.fleet.http;

/**
 * Limits of a {@link ControlServer}.
 *
 * @param maxConnections concurrent connections; further ones are closed immediately
 * @param maxHeaderBytes total size of the header fields of a request
 * @param maxBodyBytes size of the body of a request
 * @param maxPipelined requests of one connection without a response; at this number, reading pauses
 * @param requestTimeoutMillis time from a request's first byte to its last
 * @param idleTimeoutMillis time that a connection may be idle between requests
 */
public record ControlSettings(
    int maxConnections,
    int maxHeaderBytes,
    int maxBodyBytes,
    int maxPipelined,
    int requestTimeoutMillis,
    int idleTimeoutMillis) {
  private static final int MAX_CONNECTIONS = 1_024;
  private static final int MAX_HEADER_BYTES = 16 * 1_024;
  private static final int MAX_BODY_BYTES = 8 << 20;
  private static final int MAX_PIPELINED = 16;
  private static final int REQUEST_TIMEOUT_MILLIS = 10_000;
  private static final int IDLE_TIMEOUT_MILLIS = 60_000;

  /** The core's limits: 1024 connections, bodies of up to 8 MiB, 10 s for a request, 60 s idle. */
  public static ControlSettings defaults() {
    return new ControlSettings(
        MAX_CONNECTIONS,
        MAX_HEADER_BYTES,
        MAX_BODY_BYTES,
        MAX_PIPELINED,
        REQUEST_TIMEOUT_MILLIS,
        IDLE_TIMEOUT_MILLIS);
  }
}
