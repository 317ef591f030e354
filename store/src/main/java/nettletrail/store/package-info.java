/**
 * Durable state of a core process: the identity of its disk, and for each shard the highest
 * promised proposal number and the newest versions.
 *
 * <p>Entry classes: {@link nettletrail.store.CoreStore} for a running process, {@link
 * nettletrail.store.DiskCheck} for an offline inspection. All calls block and belong on a storage
 * thread, never on an event loop; an instance is used by one thread at a time.
 *
 * <p>The package decides nothing about proposals or leases, starts no threads and logs nothing: a
 * failure is thrown as a {@link nettletrail.store.StorageException}, damage is returned as data.
 * All access goes through {@link nettletrail.store.Directory}, so that tests can simulate a loss of
 * power. File names ({@link nettletrail.store.StateLayout}) and bytes ({@link
 * nettletrail.store.RecordFormat}) are described for operators in {@code
 * docs/operate/state-on-disk.md}; a change of either needs a new format number.
 */
package nettletrail.store;
