package nettletrail.fleet.cli.demonstration;

/**
 * How large a demonstration is and which faults it has.
 *
 * @param coreCount core machines at the start
 * @param zoneCount zones; doors and backends are spread over them
 * @param doorsInZone doors of each zone
 * @param clientsInZone clients of each zone, each with one request at a time
 * @param loadSeconds how long clients send requests
 * @param replaceCore whether a core machine is killed and replaced by an empty one at another
 *     address
 */
public record DemonstrationPlan(
    int coreCount,
    int zoneCount,
    int doorsInZone,
    int clientsInZone,
    int loadSeconds,
    boolean replaceCore) {

  private static final int CORES = 3;
  private static final int ZONES = 2;
  private static final int DOORS_IN_ZONE = 2;
  private static final int CLIENTS_IN_ZONE = 6;

  /** A core of three, two doors in each of two zones, all faults. */
  public static DemonstrationPlan standard(int loadSeconds) {
    return new DemonstrationPlan(CORES, ZONES, DOORS_IN_ZONE, CLIENTS_IN_ZONE, loadSeconds, true);
  }

  /**
   * Three processes: a core of one and a door in each of two zones; no core machine is replaced.
   */
  static DemonstrationPlan small(int loadSeconds) {
    return new DemonstrationPlan(1, ZONES, 1, CLIENTS_IN_ZONE / 2, loadSeconds, false);
  }

  /** The name of a zone, by its number from 0. */
  static String zone(int number) {
    return "zone-" + (char) ('a' + number);
  }
}
