package nettletrail.control.door;

import java.util.List;

/**
 * The settings of the door's control plane.
 *
 * @param door the door's name, the same in all its incarnations
 * @param zone the zone that the door runs in
 * @param incarnation a number that no earlier incarnation of the door had, above 0
 * @param revokeMs how long keys may be used after the last confirmation, in milliseconds
 * @param activationDeadlineMs within which an acknowledged configuration has to be active, in
 *     milliseconds
 * @param seeds addresses of core processes to dial first
 */
public record DoorControlSettings(
    String door,
    String zone,
    long incarnation,
    long revokeMs,
    long activationDeadlineMs,
    List<String> seeds) {
  /** Copies the list. */
  public DoorControlSettings {
    seeds = List.copyOf(seeds);
  }
}
