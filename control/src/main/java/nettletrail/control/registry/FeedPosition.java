package nettletrail.control.registry;

/**
 * How far one door was sent a feed and acknowledged it. Not thread-safe; instants are steady
 * nanoseconds.
 */
final class FeedPosition {
  private static final long MILLIS = 1_000_000L;

  /** Events without an acknowledgement are sent again after this time. */
  private static final long RESEND_TIMEOUT_NANOS = 600 * MILLIS;

  private boolean known;
  private long feed;
  private long sentOffset;
  private long acknowledgedOffset;
  private long sentAt;

  /** Nothing was sent since {@code sentAt}. */
  FeedPosition(long sentAt) {
    this.sentAt = sentAt;
  }

  /** The door may be another process: nothing that it acknowledged before counts. */
  void reset() {
    known = false;
    acknowledgedOffset = 0;
  }

  /** The position isn't known until the door's next heartbeat. */
  void forget() {
    known = false;
  }

  /**
   * A heartbeat reports the position. It is where sending continues if the position was unknown or
   * in another feed, unless something was sent shortly before that the heartbeat may have crossed,
   * and if the door has made no progress for the resend timeout.
   */
  void reported(long reportedFeed, long reportedOffset, long now) {
    boolean resendTimedOut = now - sentAt > RESEND_TIMEOUT_NANOS;
    boolean isNew = !known || reportedFeed != feed;
    boolean crossedOnTheLink = known && !resendTimedOut;
    boolean stalled =
        reportedOffset < sentOffset && reportedOffset == acknowledgedOffset && resendTimedOut;
    if (isNew && !crossedOnTheLink || stalled) {
      feed = reportedFeed;
      sentOffset = reportedOffset;
      acknowledgedOffset = reportedOffset;
    } else if (!isNew) {
      acknowledged(reportedFeed, reportedOffset);
    }
    known = true;
  }

  /** The door has read this feed up to the offset. */
  void acknowledged(long ofFeed, long offset) {
    if (ofFeed == feed) {
      acknowledgedOffset = Math.max(acknowledgedOffset, offset);
    }
  }

  /** The feed was sent up to the offset. What the door read of another feed doesn't count. */
  void sent(long ofFeed, long offset, long now) {
    if (ofFeed != feed) {
      acknowledgedOffset = 0;
    }
    feed = ofFeed;
    sentOffset = offset;
    sentAt = now;
  }

  /** Whether the position is known; nothing is sent before. */
  boolean isKnown() {
    return known;
  }

  /** The feed that the offsets are of, 0 for none. */
  long feed() {
    return feed;
  }

  long sentOffset() {
    return sentOffset;
  }

  long acknowledgedOffset() {
    return acknowledgedOffset;
  }

  /** Whether this feed was sent up to the offset. */
  boolean isSent(long ofFeed, long offset) {
    return feed == ofFeed && sentOffset >= offset;
  }

  /** Whether this feed was acknowledged up to the offset. */
  boolean isAcknowledged(long ofFeed, long offset) {
    return feed == ofFeed && acknowledgedOffset >= offset;
  }

  /** Whether nothing was sent after that instant. */
  boolean nothingSentAfter(long instant) {
    return sentAt - instant <= 0;
  }
}
