package nettletrail.control.shard;

/**
 * Decides when the owner of a shard sends a version to one replica.
 *
 * <p>At most one version is on its way to a replica. The newest one follows as soon as the replica
 * acknowledges the one before; those between are skipped, since each version is the whole value. A
 * version that is not acknowledged counts as lost only when the replica has answered a heartbeat
 * that was sent after it, which a link delivers behind it, and some time has passed. So neither a
 * resend nor a newer version queues behind a predecessor on a thin link. The time doubles with each
 * resend up to a bound, for replicas whose disk is slow or full.
 */
final class VersionTransfer {

  private static final int MAX_RESEND_FACTOR = 4;

  private final long initialResendInterval;
  private VersionStamp sent;
  private long sentAt;
  private boolean inFlight;
  private long resendInterval;

  VersionTransfer(ShardSettings settings) {
    this.initialResendInterval = settings.resend();
    this.resendInterval = initialResendInterval;
  }

  /** True while a version was sent and neither acknowledged nor counted as lost. */
  boolean isInFlight() {
    return inFlight;
  }

  /** A version leaves for the replica now. */
  void start(VersionStamp version, long now) {
    if (inFlight) {
      resendInterval = Math.min(2 * resendInterval, MAX_RESEND_FACTOR * initialResendInterval);
    }
    sent = version;
    sentAt = now;
    inFlight = true;
  }

  /** The replica holds this version durably. */
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
