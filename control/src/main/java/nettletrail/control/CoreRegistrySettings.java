package nettletrail.control;

import nettletrail.control.grant.GrantTerms;

/**
 * What the core's registry has to be told.
 *
 * @param address this process's address as other core processes and doors dial it
 * @param zone the zone that this process stands in
 * @param feed the id of this life's feed; above 0 and never used before
 * @param heartbeatMs how often backends call, in milliseconds
 * @param grants the bounds that grants keep
 */
public record CoreRegistrySettings(
    String address, String zone, long feed, long heartbeatMs, GrantTerms grants) {
  /** Checks the ranges. */
  public CoreRegistrySettings {
    if (feed <= 0 || heartbeatMs <= 0) {
      throw new IllegalArgumentException(
          "feed and beatMs must be above 0, not " + feed + ", " + heartbeatMs);
    }
  }
}
