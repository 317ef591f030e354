/**
 * The catalogue of the fleet's log events. Entry class: {@link
 * nettletrail.protocol.event.LogEvent}.
 *
 * <p>An event that has been released keeps its id and meaning for good, since alerts match on it;
 * the catalogue logs nothing itself. Immutable and safe for any thread.
 */
package nettletrail.protocol.event;
