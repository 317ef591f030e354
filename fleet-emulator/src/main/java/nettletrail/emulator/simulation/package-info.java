/**
 * The simulated surroundings of a fleet: virtual time, machines, their clocks, disks and the
 * network between them. Everything runs on one thread and follows from one seed.
 */
package nettletrail.emulator.simulation;
