package nettletrail.control.registry;

/**
 * What one core process knows of a door, for operators; decides nothing.
 *
 * @param door its name
 * @param zone where it stands; empty before its first heartbeat
 * @param live whether its lease runs
 * @param leaseLeftMs how long its lease still runs; 0 if it has run out
 * @param linkUp whether there is a link to it
 * @param draining whether it is about to end
 * @param configurationSequence the sequence of the configuration that it has
 * @param feedOffset up to which offset it has read this process's feed
 */
public record DoorStatus(
    String door,
    String zone,
    boolean live,
    long leaseLeftMs,
    boolean linkUp,
    boolean draining,
    long configurationSequence,
    long feedOffset) {}
