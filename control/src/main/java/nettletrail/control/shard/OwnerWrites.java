package nettletrail.control.shard;

import java.nio.ByteBuffer;
import java.util.List;
import nettletrail.protocol.Member;
import nettletrail.protocol.ShardVersion;

/** The writes of a shard's owner: new values, and changes of the group under the same value. */
final class OwnerWrites {

  private final ReplicaStateMachine stateMachine;
  private final Member self;
  private final ShardSettings settings;
  private final GroupChanges groupChanges;

  /** The change of the group that is in flight or was committed last, or null. */
  private GroupChange lastChange;

  private boolean lastChangeCommitted;
  private long awaitFullGroupUntil = Long.MIN_VALUE;

  OwnerWrites(ReplicaStateMachine stateMachine, Member self, ShardSettings settings) {
    this.stateMachine = stateMachine;
    this.self = self;
    this.settings = settings;
    this.groupChanges = new GroupChanges(settings);
  }

  /** Delays values until the group is full, for a limited time from now on. */
  void awaitFullGroup(long now) {
    awaitFullGroupUntil = now + settings.bootstrapTimeoutNanos();
  }

  /**
   * True if the owner may write a value: its lease holds, no write is in flight, and the group is
   * large enough. After the first start of the system a group that is not full yet delays values,
   * but for a limited time only: there may be fewer machines.
   */
  boolean isWritable(long now) {
    return isReady(now) && (now >= awaitFullGroupUntil || hasFullGroup());
  }

  private boolean hasFullGroup() {
    return stateMachine.owner().committedGroup().size() >= settings.fullGroupSize();
  }

  private boolean isReady(long now) {
    return stateMachine.state().holdsLease(now) && stateMachine.owner().isReadyToWrite();
  }

  /** Writes a value as the next version; only while {@link #isWritable}. */
  ShardVersion write(byte[] value, long now) {
    OwnerState owner = stateMachine.owner();
    return owner.write(ByteBuffer.wrap(value), owner.committedGroup(), now);
  }

  /** A process asks to join the group; ignored unless this process is the owner. */
  void onJoinRequest(Member joiner, long now) {
    if (stateMachine.owner() != null) {
      groupChanges.onJoinRequest(joiner, now);
    }
  }

  /**
   * A member asks to leave the group. Returns true if this process is the owner and has no change
   * of the group left to make.
   */
  boolean onLeaveRequest(Member member, long now) {
    if (stateMachine.owner() == null) {
      return false;
    }
    groupChanges.onLeaveRequest(member, now);
    changeGroup(now);
    return isReady(now);
  }

  /**
   * Writes the next group if one is due. Called after each commit, before the next value, so that a
   * steady flow of values can't delay a change of the group.
   */
  void changeGroup(long now) {
    if (!isReady(now)) {
      return;
    }
    OwnerState owner = stateMachine.owner();
    GroupChange change = groupChanges.next(owner.committedGroup(), self, owner, now);
    if (change != null) {
      lastChange = change;
      lastChangeCommitted = false;
      owner.write(owner.committed().getValue(), change.group(), now);
    }
  }

  /** The change of the group that the latest commit has made, once; else null. */
  GroupChange pollCommittedChange() {
    List<Member> committed = stateMachine.owner().committedGroup().members();
    boolean made =
        lastChange != null
            && !lastChangeCommitted
            && lastChange.group().members().equals(committed);
    if (!made) {
      return null;
    }
    lastChangeCommitted = true;
    return lastChange;
  }

  /** The latest change of the group that this process has committed, or null. */
  GroupChange lastCommittedChange() {
    return lastChangeCommitted ? lastChange : null;
  }

  /**
   * How many further losses the committed group tolerates; only while this process is the owner.
   */
  int furtherLossesTolerated(long now) {
    OwnerState owner = stateMachine.owner();
    return groupChanges.furtherLossesTolerated(owner.committedGroup(), self, owner, now);
  }
}
