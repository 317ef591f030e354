package nettletrail.control.shard;

/** What the owner of a shard knows of one member: contacts, lease grant and replication. */
final class MemberProgress {

  private final VersionTransfer transfer;
  private long lastContactAt;
  private boolean hasContact;
  private long grantRequestedAt = ReplicaGroup.NEVER;

  /** No contact yet; the time without one counts from startedAt. */
  MemberProgress(long startedAt, ShardSettings settings) {
    this.lastContactAt = startedAt;
    this.transfer = new VersionTransfer(settings);
  }

  void onContact(long at) {
    lastContactAt = at;
    hasContact = true;
  }

  /** The member granted the lease in answer to a heartbeat that was sent at that instant. */
  void onGrant(long requestedAt) {
    grantRequestedAt = Math.max(grantRequestedAt, requestedAt);
  }

  /** The replication of versions to the member. */
  VersionTransfer transfer() {
    return transfer;
  }

  long lastContactAt() {
    return lastContactAt;
  }

  boolean hasContact() {
    return hasContact;
  }

  long grantRequestedAt() {
    return grantRequestedAt;
  }
}
