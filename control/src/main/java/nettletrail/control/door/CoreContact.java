package nettletrail.control.door;

/**
 * How long no core process has replied. A door that is cut off from all of them for a large part of
 * the time in which revoked keys have to end stops using keys early: the requests that it would
 * still serve count for nothing, and a client that it rejects finds another door.
 *
 * <p>Instants are nanoseconds of the steady clock.
 */
final class CoreContact {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Part of the revocation time without any reply after which keys are no longer used. */
  private static final double MAX_SILENCE_FRACTION = 0.6;

  private final long maxSilenceNanos;
  private long lastReplySentAt;

  /**
   * Counts from {@code now} on.
   *
   * @param revokeMs how long a revoked key may be used, in milliseconds
   */
  CoreContact(long revokeMs, long now) {
    this.maxSilenceNanos = (long) (revokeMs * MAX_SILENCE_FRACTION * NANOS_PER_MILLI);
    this.lastReplySentAt = now;
  }

  /** A core process replied to a heartbeat that was sent at this instant. */
  void replied(long sentAt) {
    if (sentAt - lastReplySentAt > 0) {
      lastReplySentAt = sentAt;
    }
  }

  /** Whether no core process has replied for so long that keys are no longer used. */
  boolean isLost(long now) {
    return now - lastReplySentAt >= maxSilenceNanos;
  }
}
