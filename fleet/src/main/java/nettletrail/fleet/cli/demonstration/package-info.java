/**
 * The demonstration of the fleet that the command {@code try} runs on one computer: real processes
 * of both roles on loopback addresses, emulated backends and clients, injected faults, and checks
 * of the system's guarantees.
 *
 * <p>{@link nettletrail.fleet.cli.demonstration.Demonstration} is the entry class; it blocks the
 * calling thread, which starts and ends everything. Clients, backends, heartbeats and readiness
 * checks have threads of their own; what they share is synchronized or immutable.
 *
 * <p>This package must not leave processes behind, must not listen on other than loopback
 * addresses, and must not be used by the daemons.
 */
package nettletrail.fleet.cli.demonstration;
