package nettletrail.control.door;

import java.util.List;

/**
 * What the door's control plane has to be told.
 *
 * @param door the door's name, the same in all its lives
 * @param zone the zone that it stands in
 * @param incarnation a number that no earlier life of the door had, above 0
 * @param revokeMs how long keys hold after the last confirmation, in milliseconds
 * @param inForceMs within which an acknowledged configuration has to be in force, in milliseconds
 * @param seeds addresses of core processes to begin with
 */
public record DoorControlSettings(
    String door, String zone, long incarnation, long revokeMs, long inForceMs, List<String> seeds) {
  /** Copies the list. */
  public DoorControlSettings {
    seeds = List.copyOf(seeds);
  }
}
