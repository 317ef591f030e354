package nettletrail.configuration;

/**
 * Bounds on what clients send and how long they take.
 *
 * @param headerBytes the largest head of a request
 * @param bodyBytes the largest body of a request
 * @param headerMs the longest a client may take to send a head, in milliseconds
 * @param idleMs the longest a connection may rest between requests, in milliseconds
 */
public record Limits(int headerBytes, int bodyBytes, int headerMs, int idleMs) {
  /** In force for each bound that a configuration does not state. */
  public static final Limits DEFAULT = new Limits(64 * 1024, 16 * 1024 * 1024, 10_000, 60_000);
}
