/**
 * The door's client of the control plane: which core processes it dials, its view of backends and
 * shard owners, the active configuration and the lease of its API keys, and its tenants' quota
 * tokens.
 *
 * <p>The entry class is {@link nettletrail.control.door.DoorControl}; the data plane also uses the
 * {@link nettletrail.control.door.GrantClient} that it returns. Both are called by the door's one
 * control thread and perform no I/O: they return {@link nettletrail.control.door.DoorAction}s.
 *
 * <p>Must not open connections, start threads, read a clock, draw random numbers, or log. Instants
 * are nanoseconds of the steady clock; a name that ends in {@code Ms} is a duration in
 * milliseconds. Messages are Avro records of {@code nettletrail.protocol}.
 */
package nettletrail.control.door;
