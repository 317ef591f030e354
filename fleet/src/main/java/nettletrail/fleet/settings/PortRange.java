package nettletrail.fleet.settings;

/**
 * Ports that are free for the fleet's own links on every machine.
 *
 * @param first the lowest port
 * @param last the highest port
 */
public record PortRange(int first, int last) {}
