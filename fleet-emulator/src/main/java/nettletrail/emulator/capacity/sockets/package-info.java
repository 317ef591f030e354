/**
 * The scale run over sockets: the fleet's own core processes, with simulated doors that share a
 * process and simulated backends. {@link nettletrail.emulator.capacity.sockets.SocketRun} is its
 * entry.
 */
package nettletrail.emulator.capacity.sockets;
