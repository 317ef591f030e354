package nettletrail.control.registry;

/**
 * A door as one core process knows it, as shown to operators.
 *
 * @param door its name
 * @param zone the zone that it runs in; empty before its first heartbeat
 * @param live whether it holds a lease
 * @param leaseLeftMs milliseconds until its lease expires; 0 if it has expired
 * @param linkUp whether there is a link to it
 * @param draining whether it is shutting down gracefully
 * @param configurationSequence the sequence of the configuration that it has
 * @param feedOffset the offset up to which it acknowledged this process's feed
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
