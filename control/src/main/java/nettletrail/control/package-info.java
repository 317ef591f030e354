/**
 * The control plane of a core process, apart from the shards themselves: registry of backends, feed
 * and leases of doors, grants of quota.
 *
 * <p>{@link nettletrail.control.CoreRegistry} is the entry. It routes each event to one manager for
 * each kind of record: {@code BackendManager}, {@code ReplicationManager}, {@code GrantManager} and
 * {@code HeartbeatResponder}. {@link nettletrail.control.ShardOwnership} is what it needs of {@link
 * nettletrail.control.shard}; the doors' side of the same messages is {@link
 * nettletrail.control.door}.
 *
 * <p>The package decides only: no class does input or output, reads a clock, starts a thread or
 * locks. Callers pass the steady time in nanoseconds, perform the returned actions in order, and
 * make all calls on one thread, the control thread.
 */
package nettletrail.control;
