/**
 * Simulated processes that host the real deciders of {@code nettletrail.control}: they carry
 * messages, timers and writes between the deciders and the simulated surroundings and decide
 * nothing.
 */
package nettletrail.emulator.host;
