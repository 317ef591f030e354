package nettletrail.fleet.settings;

/**
 * Ports that are free for the fleet's internal links, the same on every machine.
 *
 * @param first the lowest port, from 1
 * @param last the highest port, inclusive
 */
public record PortRange(int first, int last) {}
