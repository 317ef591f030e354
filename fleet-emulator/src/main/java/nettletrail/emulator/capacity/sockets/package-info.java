/**
 * The scale run over sockets: the fleet's own core processes, before hollow doors that share a
 * process and hollow backends.
 */
package nettletrail.emulator.capacity.sockets;
