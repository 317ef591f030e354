package nettletrail.control;

import nettletrail.control.grant.GrantTerms;

/**
 * Settings of a core process's registry.
 *
 * @param address this process's address as other core processes and doors dial it
 * @param zone the failure domain that this process runs in
 * @param feed the id of this incarnation's feed; above 0 and never used before
 * @param heartbeatMs the interval of backends' heartbeats in milliseconds, above 0
 * @param grants the bound that grants keep
 */
public record CoreRegistrySettings(
    String address, String zone, long feed, long heartbeatMs, GrantTerms grants) {
  /** Checks the ranges. */
  public CoreRegistrySettings {
    if (feed <= 0 || heartbeatMs <= 0) {
      throw new IllegalArgumentException(
          "feed and heartbeatMs must be above 0, not " + feed + ", " + heartbeatMs);
    }
  }
}
