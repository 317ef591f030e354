/**
 * Simulated processes: {@link nettletrail.emulator.host.CoreProcess} and {@link
 * nettletrail.emulator.host.DoorProcess} provide the hosts of {@code nettletrail.control.host},
 * which run the real deciders, with simulated links, disk, clock and callers. They decide nothing,
 * and never read a real clock.
 */
package nettletrail.emulator.host;
