package nettletrail.emulator.simulation;

/**
 * What a connection carries: one message, whole. Implementations are immutable, since both ends see
 * the same object.
 */
public interface Payload {}
