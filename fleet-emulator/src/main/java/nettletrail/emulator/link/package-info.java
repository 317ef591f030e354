/**
 * The links between processes as {@code nettletrail.protocol.link} gives them, over the simulated
 * network.
 */
package nettletrail.emulator.link;
