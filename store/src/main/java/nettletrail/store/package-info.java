/**
 * Durable state of a core process: the identity of its disk, and for each shard the highest promise
 * and the newest versions.
 *
 * <p>Everything is written against the {@link nettletrail.store.Directory} seam. All calls block
 * and belong on a storage thread. A file is written under a temporary name, synced, renamed, and
 * its folder synced, so that a final name never holds a file that was not complete on disk.
 */
package nettletrail.store;
