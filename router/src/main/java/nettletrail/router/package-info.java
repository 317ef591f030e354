/**
 * The data plane of a door: accepts HTTP requests from clients, matches them to a route and a
 * tenant, queues them fairly, forwards them to a backend, retries where that is safe, and relays
 * responses and event streams.
 *
 * <p>The entry class is {@link nettletrail.router.Router}. It reads the control plane's state
 * through {@link nettletrail.router.ControlView} and {@link nettletrail.router.QuotaSource} and
 * never talks to the control plane itself. Everything runs on one event loop, which no method may
 * block; methods that may be called from other threads say so.
 */
package nettletrail.router;
