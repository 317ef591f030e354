/**
 * The links between processes with the behaviour of {@code nettletrail.protocol.link}, over the
 * simulated network. Messages are encoded as on the wire; they are neither interpreted nor checked.
 *
 * <p>Entry class: {@link nettletrail.emulator.link.SimulatedLinks}.
 */
package nettletrail.emulator.link;
