package nettletrail.control.shard;

/** When the members of a group last answered its owner. Instants of the owner's steady clock. */
interface MemberContacts {

  /** When there was last contact with a member; if never, when the owner began to count. */
  long lastContactAt(String id);

  /** True if a member has answered this owner, or was seen before as the former owner. */
  boolean hasContact(String id);

  /**
   * When the owner sent the latest heartbeat that a member granted; {@link ReplicaGroup#NEVER} if
   * it granted none.
   */
  long grantRequestedAt(String id);
}
