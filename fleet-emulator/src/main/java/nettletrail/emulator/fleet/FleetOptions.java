package nettletrail.emulator.fleet;

import nettletrail.emulator.actors.OrderDocument;
import nettletrail.emulator.world.NetworkSettings;

/**
 * Size and surroundings of an emulated fleet.
 *
 * @param cores how many core machines there are
 * @param doors how many doors there are
 * @param network how the network behaves
 * @param bounds what the fleet promises
 * @param tokensPerSecond what the limited tenant's requests want at all doors together
 */
public record FleetOptions(
    int cores, int doors, NetworkSettings network, Bounds bounds, double tokensPerSecond) {
  private static final double PRESSED = 2;

  /**
   * Three core machines and two doors over a calm network, pressed by twice what the tenant may
   * use.
   */
  public static FleetOptions small() {
    return new FleetOptions(
        3, 2, NetworkSettings.calm(), Bounds.typical(), PRESSED * OrderDocument.RATE_PER_SECOND);
  }

  /** The same with other counts of machines. */
  public FleetOptions withMachines(int coreCount, int doorCount) {
    return new FleetOptions(coreCount, doorCount, network, bounds, tokensPerSecond);
  }

  /** The same over another network. */
  public FleetOptions withNetwork(NetworkSettings settings) {
    return new FleetOptions(cores, doors, settings, bounds, tokensPerSecond);
  }
}
