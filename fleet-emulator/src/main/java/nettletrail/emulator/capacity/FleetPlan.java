package nettletrail.emulator.capacity;

/**
 * The size of a fleet and what happens to it.
 *
 * @param doors processes that carry traffic, 1 or more
 * @param backends servers behind them, 1 or more
 * @param tenants named by the configuration
 * @param requestsPerSecond of all clients at the peak
 * @param sessions live at once
 * @param prefixes shared prompt prefixes in use
 * @param configurationChangesPerDay orders of the operator that are taken
 * @param restartsPerDay of doors, planned and not
 */
public record FleetPlan(
    int doors,
    int backends,
    int tenants,
    double requestsPerSecond,
    long sessions,
    int prefixes,
    double configurationChangesPerDay,
    double restartsPerDay) {
  /** The size to design for. */
  public static final FleetPlan TARGET =
      new FleetPlan(380, 600, 7_100, 3_900, 1_500_000, 190_000, 1_100, 51 + 17);

  /** Machines that run the core. */
  public static final int CORE_PROCESSES = 3;

  /** Failure domains over which doors and backends are spread. */
  public static final int ZONES = 8;

  /** Replicated registers: one of the configuration, the others of the tenants. */
  public static final int SHARDS = 5;

  /** Checks the ranges. */
  public FleetPlan {
    if (doors < 1 || backends < 1 || tenants < 1) {
      throw new IllegalArgumentException(
          "a fleet of " + doors + " doors, " + backends + " backends, " + tenants + " tenants");
    }
  }

  /** The same fleet with this many doors and all else in proportion. */
  public FleetPlan withDoors(int count) {
    double share = count / (double) doors;
    return new FleetPlan(
        count,
        atLeastOne(backends * share),
        atLeastOne(tenants * share),
        requestsPerSecond * share,
        Math.round(sessions * share),
        atLeastOne(prefixes * share),
        configurationChangesPerDay,
        restartsPerDay * share);
  }

  private static int atLeastOne(double value) {
    return (int) Math.max(1, Math.round(value));
  }
}
