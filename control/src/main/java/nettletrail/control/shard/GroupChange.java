package nettletrail.control.shard;

import nettletrail.protocol.Member;

/**
 * One step from a group to the next. Immutable.
 *
 * @param group the next group
 * @param kind why it changes
 * @param member the member that is added or removed
 */
public record GroupChange(ReplicaGroup group, Kind kind, Member member) {

  /** Why a group changes. */
  public enum Kind {
    /** A process asked to join. */
    JOINED,
    /** Another identity has the member's address: its disk was lost, or its machine replaced. */
    IDENTITY_REPLACED,
    /** No contact; a process that asks to join takes its place. */
    UNRESPONSIVE_REPLACED,
    /** No contact, and without the member the group tolerates more losses. */
    UNRESPONSIVE,
    /** It is shutting down, and without it the group tolerates more losses. */
    LEFT,
    /** No contact for long, in a group that is larger than a full one. */
    SURPLUS
  }

  static GroupChange adding(ReplicaGroup before, Member joiner) {
    return new GroupChange(before.with(joiner), Kind.JOINED, joiner);
  }

  static GroupChange removing(ReplicaGroup before, Member member, Kind kind) {
    return new GroupChange(before.without(member.getId()), kind, member);
  }
}
