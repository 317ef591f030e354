package nettletrail.configuration;

/**
 * Limits on the size and time of what clients send.
 *
 * @param headerBytes the largest header of a request, in bytes
 * @param bodyBytes the largest body of a request, in bytes
 * @param headerMs how long a client may take to send a header, in milliseconds
 * @param idleMs how long a connection may be idle between requests, in milliseconds
 */
public record Limits(int headerBytes, int bodyBytes, int headerMs, int idleMs) {
  /** Used for each limit that a configuration does not state. */
  public static final Limits DEFAULT = new Limits(64 << 10, 16 << 20, 10_000, 60_000);
}
