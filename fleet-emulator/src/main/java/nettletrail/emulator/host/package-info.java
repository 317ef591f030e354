/**
 * Simulated processes: {@link nettletrail.emulator.host.EmulatedCoreProcess} and {@link
 * nettletrail.emulator.host.EmulatedDoorProcess} provide the hosts of {@code
 * nettletrail.control.host}, which run the real deciders, with simulated links, disk, clock and
 * callers. They decide nothing, and never read a real clock.
 */
package nettletrail.emulator.host;
