package nettletrail.control.shard;

/** What an owner knows of the members' life. Instants of its own steady clock. */
interface MemberContacts {

  /** When a member was last heard of; the start of the ownership, or earlier, if it never was. */
  long lastContactAt(String id);

  /** True if a member has answered this owner, or was heard of as the former owner. */
  boolean hasContact(String id);

  /**
   * When the latest heartbeat that a member granted was sent; {@link ReplicaGroup#NEVER} if none
   * was.
   */
  long grantRequestedAt(String id);
}
