package nettletrail.protocol.link;

/**
 * Limits and timers of the links of a process.
 *
 * @param maxFrameBytes the longest frame that is read or written, without its length field
 * @param maxOutboundBytes bytes that may be buffered for a peer; a link with more is closed. A
 *     frame that finds the buffer empty is always accepted
 * @param maxAcceptedLinks accepted connections at one time; more are closed immediately
 * @param pingMillis a ping is sent when nothing was sent for this long
 * @param idleTimeoutMillis a link is closed when nothing was received for this long
 * @param connectTimeoutMillis how long opening a connection may take, in milliseconds
 * @param minBackoffMillis the shortest delay before dialling again
 * @param maxBackoffMillis the longest delay before dialling again
 */
public record LinkSettings(
    int maxFrameBytes,
    int maxOutboundBytes,
    int maxAcceptedLinks,
    int pingMillis,
    int idleTimeoutMillis,
    int connectTimeoutMillis,
    int minBackoffMillis,
    int maxBackoffMillis) {

  private static final int MEGABYTE = 1 << 20;
  private static final int MIN_TIMER_MILLIS = 20;
  private static final int DEFAULT_MAX_FRAME_BYTES = 16 * MEGABYTE;
  private static final int DEFAULT_MAX_OUTBOUND_BYTES = 8 * MEGABYTE;
  private static final int DEFAULT_MAX_ACCEPTED_LINKS = 2_048;
  private static final int DEFAULT_PING_MILLIS = 400;
  private static final int DEFAULT_IDLE_TIMEOUT_MILLIS = 1_600;
  private static final int DEFAULT_CONNECT_TIMEOUT_MILLIS = 500;
  private static final int DEFAULT_MIN_BACKOFF_MILLIS = 50;
  private static final int DEFAULT_MAX_BACKOFF_MILLIS = 500;

  /** Rejects values that are out of range or contradict each other. */
  public LinkSettings {
    require(maxFrameBytes > 0, "maxFrameBytes must be above 0");
    require(maxOutboundBytes > 0, "maxOutboundBytes must be above 0");
    require(maxAcceptedLinks > 0, "maxAcceptedLinks must be above 0");
    require(pingMillis >= MIN_TIMER_MILLIS, "pingMillis must be 20 or more");
    require(idleTimeoutMillis > pingMillis, "idleTimeoutMillis must be above pingMillis");
    require(connectTimeoutMillis > 0, "connectTimeoutMillis must be above 0");
    require(minBackoffMillis >= MIN_TIMER_MILLIS, "minBackoffMillis must be 20 or more");
    require(
        maxBackoffMillis >= minBackoffMillis,
        "maxBackoffMillis must not be below minBackoffMillis");
  }

  /** The settings of the fleet's processes. */
  public static LinkSettings defaults() {
    return new LinkSettings(
        DEFAULT_MAX_FRAME_BYTES,
        DEFAULT_MAX_OUTBOUND_BYTES,
        DEFAULT_MAX_ACCEPTED_LINKS,
        DEFAULT_PING_MILLIS,
        DEFAULT_IDLE_TIMEOUT_MILLIS,
        DEFAULT_CONNECT_TIMEOUT_MILLIS,
        DEFAULT_MIN_BACKOFF_MILLIS,
        DEFAULT_MAX_BACKOFF_MILLIS);
  }

  private static void require(boolean holds, String otherwise) {
    if (!holds) {
      throw new IllegalArgumentException(otherwise);
    }
  }
}
