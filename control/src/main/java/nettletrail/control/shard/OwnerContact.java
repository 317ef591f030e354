package nettletrail.control.shard;

/** The owner whose heartbeats this replica granted, and when it granted the latest one. */
final class OwnerContact {

  private static final String NO_OWNER = "";

  private String ownerId = NO_OWNER;
  private long lastSeenAt;

  /** Knows no owner; the time without one counts from lastSeenAt. */
  OwnerContact(long lastSeenAt) {
    this.lastSeenAt = lastSeenAt;
  }

  /** A heartbeat of that owner was granted. */
  void onHeartbeat(String owner, long now) {
    ownerId = owner;
    lastSeenAt = now;
  }

  /** The owner has released its lease. */
  void onRelease() {
    ownerId = NO_OWNER;
  }

  /** The identity of the last owner; empty if none is known. */
  String ownerId() {
    return ownerId;
  }

  /** When a heartbeat was last granted. */
  long lastSeenAt() {
    return lastSeenAt;
  }

  /** True if an owner other than that node is known. */
  boolean isOtherThan(String node) {
    return !ownerId.equals(NO_OWNER) && !ownerId.equals(node);
  }
}
