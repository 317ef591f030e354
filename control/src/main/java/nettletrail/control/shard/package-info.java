/**
 * Replicated registers with a stable, leased owner, and the configuration register on top of one of
 * them. Pure deciders.
 *
 * <p>{@link nettletrail.control.shard.CoreShards} is the entry: one object for a core process,
 * called by one thread with messages, ticks, outcomes of the storage thread and the operator's
 * calls; each call returns what is to be sent, stored and answered. Times are nanoseconds of a
 * steady clock.
 */
package nettletrail.control.shard;
