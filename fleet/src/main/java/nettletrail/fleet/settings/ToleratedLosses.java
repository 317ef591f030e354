package nettletrail.fleet.settings;

/**
 * What may be lost at one time while every rule holds.
 *
 * @param machines machines that count for the quorum
 * @param zones whole zones
 * @param regions whole regions
 */
public record ToleratedLosses(int machines, int zones, int regions) {}
