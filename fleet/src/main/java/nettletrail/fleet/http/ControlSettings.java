package nettletrail.fleet.http;

/**
 * Bounds of a {@link ControlServer}.
 *
 * @param maxConnections connections at one time; more are closed at once
 * @param maxHeaderBytes bytes of all header fields of a request together
 * @param maxBodyBytes bytes of a request's body
 * @param maxPipelined calls of one connection that wait for their answer; no more is read meanwhile
 * @param requestTimeoutMillis time from a request's first byte to its last
 * @param idleTimeoutMillis how long a connection may rest between requests
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

  /** The fleet's figures: 1024 connections, bodies to 8 MB, 10 s for a request, 60 s at rest. */
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
