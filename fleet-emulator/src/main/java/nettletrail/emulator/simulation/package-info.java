/**
 * The discrete-event simulation of a fleet's environment: virtual time, machines with clocks and
 * disks, and the network. Runs on one thread and follows from one seed; nothing here may read real
 * time, block or know of the fleet.
 *
 * <p>Entry class: {@link nettletrail.emulator.simulation.Simulation}.
 */
package nettletrail.emulator.simulation;
