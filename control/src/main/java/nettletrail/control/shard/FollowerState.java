package nettletrail.control.shard;

/** A replica that follows an owner, if there is one, until its election timer expires. */
record FollowerState(ElectionTimer electionTimer) implements ReplicaState {

  /** True if this replica should start an election. */
  boolean isElectionDue(long now) {
    return electionTimer.isDue(now);
  }

  @Override
  public String role() {
    return "follower";
  }
}
