/**
 * An in-memory fleet for tests and experiments: the real deciders of {@code nettletrail.control}
 * run over a simulated network, disks and clocks, and a judge compares what was acknowledged with
 * what was seen.
 */
package nettletrail.emulator;
