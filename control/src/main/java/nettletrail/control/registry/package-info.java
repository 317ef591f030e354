/**
 * The core's registry of backends, its replication between core processes, and the change feed that
 * doors follow.
 *
 * <p>{@link nettletrail.control.registry.BackendRegistry} merges reports by {@link
 * nettletrail.control.registry.BackendOrdering} and expires backends; {@link
 * nettletrail.control.registry.CorePeers} replicates changes by hinted handoff; {@link
 * nettletrail.control.registry.Feed} is the log of changes, which {@link
 * nettletrail.control.registry.DoorSessions} sends to doors with configurations. {@link
 * nettletrail.control.CoreRegistry} puts them together and is the entry for other modules.
 *
 * <p>The package decides only: it sends nothing, stores nothing on disk and reads no clock. Results
 * are {@link nettletrail.control.registry.RegistryAction}s; callers pass the steady time in
 * nanoseconds. All calls are made by the control thread.
 */
package nettletrail.control.registry;
