package nettletrail.emulator.simulation;

/**
 * One message on a connection. Implementations are immutable, since both ends see the same object.
 */
public interface Payload {}
