package nettletrail.emulator.fleet;

import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.simulation.NetworkSettings;

/**
 * Size and environment of an emulated fleet.
 *
 * @param cores how many core machines there are
 * @param doors how many doors there are
 * @param network how the network behaves
 * @param checkedLimits the limits that the checkers apply
 * @param configuredLimits the limits that the processes are configured with; other ones than the
 *     checked limits make a mutant
 * @param maxDriftPpm the maximum drift of the steady clocks, in parts per million
 * @param tokensPerSecond the load of the limited tenant at all doors together
 */
public record FleetOptions(
    int cores,
    int doors,
    NetworkSettings network,
    GuaranteeLimits checkedLimits,
    GuaranteeLimits configuredLimits,
    double maxDriftPpm,
    double tokensPerSecond) {
  private static final double DEFAULT_DRIFT_PPM = 200;

  private static final int SMALL_CORE = 3;
  private static final int LARGE_CORE = 5;
  private static final int SMALL_DOORS = 2;
  private static final double OVERLOAD = 2;

  /**
   * Three core machines and two doors over a reliable network, with a load of twice the tenant's
   * rate limit.
   */
  public static FleetOptions small() {
    return new FleetOptions(
        SMALL_CORE,
        SMALL_DOORS,
        NetworkSettings.reliable(),
        GuaranteeLimits.typical(),
        GuaranteeLimits.typical(),
        DEFAULT_DRIFT_PPM,
        OVERLOAD * ChangeDocument.RATE_PER_SECOND);
  }

  /** Five core machines, which tolerate two losses; otherwise as {@link #small}. */
  public static FleetOptions large() {
    return small()
        .withMachines(LARGE_CORE, SMALL_DOORS)
        .withCheckedLimits(GuaranteeLimits.large())
        .withConfiguredLimits(GuaranteeLimits.large());
  }

  /** A copy with other numbers of machines. */
  public FleetOptions withMachines(int coreCount, int doorCount) {
    return new FleetOptions(
        coreCount,
        doorCount,
        network,
        checkedLimits,
        configuredLimits,
        maxDriftPpm,
        tokensPerSecond);
  }

  /** A copy with another network. */
  public FleetOptions withNetwork(NetworkSettings settings) {
    return new FleetOptions(
        cores, doors, settings, checkedLimits, configuredLimits, maxDriftPpm, tokensPerSecond);
  }

  /** A copy in which processes are configured with other limits than the checkers apply. */
  public FleetOptions withConfiguredLimits(GuaranteeLimits other) {
    return new FleetOptions(
        cores, doors, network, checkedLimits, other, maxDriftPpm, tokensPerSecond);
  }

  /** A copy in which the checkers apply other limits. */
  public FleetOptions withCheckedLimits(GuaranteeLimits other) {
    return new FleetOptions(
        cores, doors, network, other, configuredLimits, maxDriftPpm, tokensPerSecond);
  }

  /** A copy with another maximum of clock drift, in parts per million. */
  public FleetOptions withDrift(double partsPerMillion) {
    return new FleetOptions(
        cores, doors, network, checkedLimits, configuredLimits, partsPerMillion, tokensPerSecond);
  }
}
