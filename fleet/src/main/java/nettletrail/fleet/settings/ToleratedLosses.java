package nettletrail.fleet.settings;

/**
 * The failures at one time that the system must survive with every guarantee intact: the keys
 * {@code withstand.*}.
 *
 * @param machines machines that count for the quorum
 * @param zones complete zones
 * @param regions complete regions
 */
public record ToleratedLosses(int machines, int zones, int regions) {}
