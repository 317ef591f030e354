package nettletrail.control.registry;

/**
 * Decides when a backend without heartbeats expires, as in Eureka's self-preservation mode: while
 * most backends are out of contact, the likely cause is this process or its network, and backends
 * stay registered for longer. Not thread-safe; instants are steady nanoseconds.
 *
 * <p>The expiry time is counted from the instant since which a third of the live backends has been
 * in contact without interruption, the longer one from the instant since which any has. So a
 * process that just started, or a core that is partitioned from all backends, doesn't expire them
 * all at once.
 */
final class SelfPreservation {
  private static final long MILLIS = 1_000_000L;
  private static final int EXPIRY_HEARTBEATS = 4;
  private static final long EXPIRY_MARGIN_NANOS = 1_000 * MILLIS;

  /** Expiry while most backends are out of contact. */
  private static final long PRESERVED_EXPIRY_NANOS = 20_000 * MILLIS;

  /** Contact is normal while one in so many live backends is in contact. */
  private static final int CONTACT_RATIO = 3;

  /** A backend is in contact if it was last seen within so many heartbeats. */
  private static final int CONTACT_HEARTBEATS = 2;

  private final long heartbeatNanos;
  private long normalContactSince;
  private long anyContactSince;

  SelfPreservation(long heartbeatNanos, long now) {
    this.heartbeatNanos = heartbeatNanos;
    this.normalContactSince = now;
    this.anyContactSince = now;
  }

  /** The paths on which contact is learned of have changed: expiry is counted anew from here. */
  void restart(long now) {
    normalContactSince = now;
    anyContactSince = now;
  }

  /** Whether a backend that was last seen then is in contact. */
  boolean isInContact(long lastSeenAt, long now) {
    return now - lastSeenAt <= CONTACT_HEARTBEATS * heartbeatNanos;
  }

  /** Takes over how many of the live backends are in contact now. */
  void update(int inContact, int live, long now) {
    if (inContact == 0) {
      anyContactSince = now;
    }
    if (inContact == 0 || inContact * CONTACT_RATIO < live) {
      normalContactSince = now;
    }
  }

  /** Whether a backend that was last seen then has to be expired. */
  boolean isExpired(long lastSeenAt, long now) {
    return now - Math.max(lastSeenAt, normalContactSince) > expiryNanos()
        || now - Math.max(lastSeenAt, anyContactSince) > PRESERVED_EXPIRY_NANOS;
  }

  /** How long after it was last seen a backend expires, in normal contact. */
  long expiryNanos() {
    return EXPIRY_HEARTBEATS * heartbeatNanos + EXPIRY_MARGIN_NANOS;
  }
}
