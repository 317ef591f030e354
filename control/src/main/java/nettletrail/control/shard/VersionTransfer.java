package nettletrail.control.shard;

/**
 * Decides when the owner of a shard sends a version to one replica.
 *
 * <p>At most one version is in flight to a replica. The newest one follows as soon as the replica
 * acknowledges the one before; those in between are skipped, since each version is the complete
 * value. A version without an acknowledgement counts as lost only when the replica has answered a
 * heartbeat that was sent after it, which an ordered link delivers after it, and the resend
 * interval has passed. So neither a retransmission nor a newer version queues behind an older one
 * on a slow link. The interval doubles with each retransmission, up to a bound, for replicas whose
 * disk is slow or full.
 */
final class VersionTransfer {

  private static final int MAX_RESEND_FACTOR = 4;

  private final long initialResendInterval;
  private VersionStamp sent;
  private long sentAt;
  private boolean inFlight;
  private long resendInterval;

  VersionTransfer(ShardSettings settings) {
    this.initialResendInterval = settings.initialResendIntervalNanos();
    this.resendInterval = initialResendInterval;
  }

  /** True while a version was sent and neither acknowledged nor counted as lost. */
  boolean isInFlight() {
    return inFlight;
  }

  /** A version is sent to the replica. */
  void start(VersionStamp version, long now) {
    if (inFlight) {
      resendInterval = Math.min(2 * resendInterval, MAX_RESEND_FACTOR * initialResendInterval);
    }
    sent = version;
    sentAt = now;
    inFlight = true;
  }

  /** The replica has stored this version. */
  void onAcknowledged(VersionStamp acknowledged) {
    if (inFlight && acknowledged.compareTo(sent) >= 0) {
      inFlight = false;
      resendInterval = initialResendInterval;
    }
  }

  /**
   * True if a replica that is behind should be sent the newest version, now that it has answered a
   * heartbeat that was sent at that instant.
   */
  boolean isDue(long heartbeatSentAt, long now) {
    boolean deliveredByLink = heartbeatSentAt > sentAt;
    return !inFlight || deliveredByLink && now - sentAt >= resendInterval;
  }
}
