/**
 * Event streams ({@code text/event-stream}): {@link nettletrail.router.stream.EventParser} splits
 * them into complete events, {@link nettletrail.router.stream.StallRule} decides when a stream has
 * stalled. No I/O and no clock; used on the router's event loop.
 */
package nettletrail.router.stream;
