package nettletrail.fleet.cli.demonstration;

/**
 * The size of a demonstration and the faults that it injects.
 *
 * @param coreCount core machines at the start
 * @param zoneCount zones; doors and backends are spread over them
 * @param doorsPerZone doors in each zone
 * @param clientsPerZone clients in each zone, each with one request at a time
 * @param loadSeconds duration of the load, in seconds
 * @param replaceCore whether a core machine is killed and replaced by an empty one at another
 *     address
 */
public record DemonstrationPlan(
    int coreCount,
    int zoneCount,
    int doorsPerZone,
    int clientsPerZone,
    int loadSeconds,
    boolean replaceCore) {

  private static final int CORES = 3;
  private static final int ZONES = 2;
  private static final int DOORS_PER_ZONE = 2;
  private static final int CLIENTS_PER_ZONE = 6;

  /** Three cores, two doors in each of two zones, all faults. */
  public static DemonstrationPlan standard(int loadSeconds) {
    return new DemonstrationPlan(CORES, ZONES, DOORS_PER_ZONE, CLIENTS_PER_ZONE, loadSeconds, true);
  }

  /** One core and a door in each of two zones; no core machine is replaced. For tests. */
  static DemonstrationPlan small(int loadSeconds) {
    return new DemonstrationPlan(1, ZONES, 1, CLIENTS_PER_ZONE / 2, loadSeconds, false);
  }

  /** The name of a zone, by its number from 0. */
  static String zone(int number) {
    return "zone-" + (char) ('a' + number);
  }
}
