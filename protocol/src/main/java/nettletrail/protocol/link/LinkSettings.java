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

  /**
   * The fleet's settings: frames to 16 MB, 8 MB outbound, pings after 400 ms, idle timeout 1.6 s.
   */
  public static LinkSettings defaults() {
    return new LinkSettings(16 * MEGABYTE, 8 * MEGABYTE, 2048, 400, 1600, 500, 50, 500);
  }

  private static void require(boolean holds, String otherwise) {
    if (!holds) {
      throw new IllegalArgumentException(otherwise);
    }
  }
}
