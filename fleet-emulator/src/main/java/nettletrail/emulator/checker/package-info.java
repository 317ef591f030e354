/**
 * Checks of what a run has shown against what the fleet promises. The classes here know nothing of
 * the fleet's inside: they see calls with their answers, and what doors did, each with its instant
 * in nanoseconds of virtual time.
 */
package nettletrail.emulator.checker;
