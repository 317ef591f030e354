/**
 * An in-memory fleet for tests and experiments: the deciders of {@code nettletrail.control} run in
 * a discrete-event simulation of network, disks and clocks, faults are injected, and checkers
 * compare what was acknowledged with what clients observed. Nothing of it is part of the fleet's
 * binary.
 *
 * <p>Entry classes: {@code fleet.RandomRun} for random runs, {@code fleet.EmulatedFleet} for
 * scenarios, {@code explore.Explorer} for bounded model checking.
 */
package nettletrail.emulator;
