/**
 * Runs the deciders of the control plane in a process. {@link nettletrail.control.host.CoreHost}
 * and {@link nettletrail.control.host.DoorHost} pass each event to its decider and each action of a
 * decider to links, storage, callers or the data plane; the real processes and the emulators
 * provide those through the interfaces of this package.
 *
 * <p>Nothing here decides, blocks or starts a thread. All calls come on the thread of the process
 * that owns the host.
 */
package nettletrail.control.host;
