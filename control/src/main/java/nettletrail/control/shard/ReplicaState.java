package nettletrail.control.shard;

import nettletrail.protocol.ProposalNumber;

/**
 * The state of one replica: follower, candidate or owner. Exactly one is current, see {@link
 * ReplicaStateMachine}.
 */
sealed interface ReplicaState permits FollowerState, CandidateState, OwnerState {

  /** The name of the state, for logs and tests. */
  String role();

  /** The proposal number under which this replica writes as owner, or null in other states. */
  default ProposalNumber fencingToken() {
    return null;
  }

  /** True while this replica holds the owner's lease and has committed a version under it. */
  default boolean holdsLease(long now) {
    return false;
  }
}
