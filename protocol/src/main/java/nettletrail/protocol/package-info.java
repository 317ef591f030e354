/**
 * The messages between the processes of a fleet, generated from {@code src/main/avro/fleet.avdl}.
 *
 * <p>Entry class: {@link nettletrail.protocol.Envelope}, the union of all message kinds. The
 * position of a kind in that union and the order of fields are the format on the wire; a record's
 * name is a label of metrics. {@link nettletrail.protocol.ShardVersion}, {@link
 * nettletrail.protocol.ProposalNumber} and {@link nettletrail.protocol.ConfigurationValue} are
 * stored on disk in the same encoding. There is no logic here, and generated classes are never
 * edited by hand: {@code protocol/generate.sh} writes them. Records are mutable and not safe for
 * several threads while they change.
 */
package nettletrail.protocol;
