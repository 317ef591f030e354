/**
 * Replicated shards with a leased owner each, and the configuration as a register in one of them.
 *
 * <p><b>Entry.</b> {@link nettletrail.control.shard.CoreShards} is the only entry: one object for a
 * core process. It takes messages, ticks, outcomes of storage operations and operators' calls, and
 * returns {@link nettletrail.control.shard.CoreAction}s: messages to send, state to store, calls to
 * answer and committed configurations to publish. {@link nettletrail.control.shard.ShardReplica} is
 * one shard.
 *
 * <p><b>State machine of a shard.</b> Each shard is a register that its members replicate with
 * Paxos (Lamport, <i>Paxos Made Simple</i>, 2001). Every replica is an {@link
 * nettletrail.control.shard.Acceptor} at all times. As proposer it is in one of three states, which
 * {@link nettletrail.control.shard.ReplicaStateMachine} holds:
 *
 * <ul>
 *   <li>{@link nettletrail.control.shard.FollowerState}: grants the owner's heartbeats until they
 *       stop;
 *   <li>{@link nettletrail.control.shard.CandidateState}: runs a pre-vote (Ongaro, <i>Consensus:
 *       Bridging Theory and Practice</i>, 9.6) and phase 1 of Paxos;
 *   <li>{@link nettletrail.control.shard.OwnerState}: runs phase 2 for one version after another
 *       under one proposal number, which is its fencing token, while a majority renews its lease
 *       (Gray and Cheriton, <i>Leases</i>, 1989).
 * </ul>
 *
 * <p>A version carries the complete value and the group of members that decides on it. The owner
 * changes the group by one member at a time ({@link nettletrail.control.shard.GroupChanges}), so
 * that majorities of successive groups intersect. {@link
 * nettletrail.control.shard.ConfirmationRounds} are quorum reads: they tell any process, without an
 * owner, until when its known configuration was the newest.
 *
 * <p><b>Threads and time.</b> All objects of a process belong to one thread, that of the caller.
 * Nothing here does I/O, reads a clock, blocks or logs; random numbers come from a seed. Equal
 * events give equal actions, which the simulations of the tests rely on. An instant ({@code now},
 * names that end in {@code At} or {@code Until}, deadlines) is nanoseconds of the process' steady
 * clock, and so are durations, unless a name says another unit. Instants of different processes are
 * never compared; clocks may differ in rate by what the lease's margin allows.
 */
package nettletrail.control.shard;
