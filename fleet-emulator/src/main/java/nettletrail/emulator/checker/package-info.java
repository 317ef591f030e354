/**
 * Checks of the guarantees of a fleet on what its clients observed: calls with their answers, and
 * the actions of doors, each with its instant in nanoseconds of virtual time. The checkers must not
 * read the internal state of the fleet.
 *
 * <p>Entry classes: one checker for each kind of {@link nettletrail.emulator.checker.Guarantee};
 * {@link nettletrail.emulator.checker.LinearizabilityChecker} for histories.
 */
package nettletrail.emulator.checker;
