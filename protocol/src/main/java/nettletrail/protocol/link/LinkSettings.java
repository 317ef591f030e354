package nettletrail.protocol.link;

/**
 * Sizes and times of the links.
 *
 * @param maxFrameBytes the longest frame that is read or written
 * @param maxOutboundBytes bytes that may wait for a peer; a link with more is closed. A frame that
 *     finds the buffer empty is always taken
 * @param maxAcceptedLinks connections from others at one time; more are closed at once
 * @param pingMillis a ping is sent when nothing was sent for this long
 * @param idleTimeoutMillis a link is closed when nothing was received for this long
 * @param connectTimeoutMillis how long opening a connection may take
 * @param minBackoffMillis the shortest pause before dialling again
 * @param maxBackoffMillis the longest pause before dialling again
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
  private static final int SHORTEST_TIMER_MILLIS = 20;

  /** Checks that the figures fit each other. */
  public LinkSettings {
    require(maxFrameBytes > 0, "maxFrameBytes must be above 0");
    require(maxOutboundBytes > 0, "maxOutboundBytes must be above 0");
    require(maxAcceptedLinks > 0, "maxAcceptedLinks must be above 0");
    require(pingMillis >= SHORTEST_TIMER_MILLIS, "pingMillis must be 20 or more");
    require(idleTimeoutMillis > pingMillis, "silenceMillis must be above pingMillis");
    require(connectTimeoutMillis > 0, "connectTimeoutMillis must be above 0");
    require(minBackoffMillis >= SHORTEST_TIMER_MILLIS, "minBackoffMillis must be 20 or more");
    require(
        maxBackoffMillis >= minBackoffMillis,
        "maxBackoffMillis must not be below minBackoffMillis");
  }

  /** The fleet's figures: frames to 16 MB, 8 MB outbound, pings at 400 ms, silence to 1.6 s. */
  public static LinkSettings defaults() {
    return new LinkSettings(16 * MEGABYTE, 8 * MEGABYTE, 2048, 400, 1600, 500, 50, 500);
  }

  private static void require(boolean holds, String otherwise) {
    if (!holds) {
      throw new IllegalArgumentException(otherwise);
    }
  }
}
