/**
 * A complete emulated fleet: machines with their processes, fault injection, random runs, and the
 * connection of clients and core processes to the checkers. All random numbers must be drawn in a
 * fixed order, since a seed has to give the same run each time.
 *
 * <p>Entry classes: {@link nettletrail.emulator.fleet.EmulatedFleet}, {@link
 * nettletrail.emulator.fleet.RandomRun}.
 */
package nettletrail.emulator.fleet;
