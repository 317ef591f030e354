package nettletrail.emulator.fleet;

import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.simulation.NetworkSettings;

/**
 * Size and surroundings of an emulated fleet.
 *
 * @param cores how many core machines there are
 * @param doors how many doors there are
 * @param network how the network behaves
 * @param checkedLimits what the fleet promises, and the judges hold it to
 * @param configuredLimits what the processes are configuredLimits of the bounds; the same, unless a
 *     defect is planted
 * @param maxDriftPpm by how many parts in a million the steady clocks may be fast or slow
 * @param tokensPerSecond what the limited tenant's requests want at all doors together
 */
public record FleetOptions(
    int cores,
    int doors,
    NetworkSettings network,
    GuaranteeLimits checkedLimits,
    GuaranteeLimits configuredLimits,
    double maxDriftPpm,
    double tokensPerSecond) {
  private static final double USUAL_DRIFT_PPM = 200;

  private static final int SMALL_CORE = 3;
  private static final int LARGE_CORE = 5;
  private static final int SMALL_DOORS = 2;
  private static final double PRESSED = 2;

  /**
   * Three core machines and two doors over a calm network, pressed by twice what the tenant may
   * use.
   */
  public static FleetOptions small() {
    return new FleetOptions(
        SMALL_CORE,
        SMALL_DOORS,
        NetworkSettings.calm(),
        GuaranteeLimits.typical(),
        GuaranteeLimits.typical(),
        USUAL_DRIFT_PPM,
        PRESSED * ChangeDocument.RATE_PER_SECOND);
  }

  /** Five core machines that withstand two losses, otherwise the same. */
  public static FleetOptions large() {
    return small()
        .withMachines(LARGE_CORE, SMALL_DOORS)
        .withCheckedLimits(GuaranteeLimits.large())
        .withConfiguredLimits(GuaranteeLimits.large());
  }

  /** The same with other counts of machines. */
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

  /** The same over another network. */
  public FleetOptions withNetwork(NetworkSettings settings) {
    return new FleetOptions(
        cores, doors, settings, checkedLimits, configuredLimits, maxDriftPpm, tokensPerSecond);
  }

  /** The same with processes that are told other bounds than they are held to. */
  public FleetOptions withConfiguredLimits(GuaranteeLimits other) {
    return new FleetOptions(
        cores, doors, network, checkedLimits, other, maxDriftPpm, tokensPerSecond);
  }

  /** The same with processes that are held to other bounds. */
  public FleetOptions withCheckedLimits(GuaranteeLimits other) {
    return new FleetOptions(
        cores, doors, network, other, configuredLimits, maxDriftPpm, tokensPerSecond);
  }

  /** The same with worse clocks. */
  public FleetOptions withDrift(double partsPerMillion) {
    return new FleetOptions(
        cores, doors, network, checkedLimits, configuredLimits, partsPerMillion, tokensPerSecond);
  }
}
