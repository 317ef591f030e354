package nettletrail.emulator.fleet;

import java.util.List;
import java.util.SplittableRandom;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * Injects faults at random times, half of those of core machines at the owner of the configuration.
 * Any number of them may be active at once, except that disks are lost only as far as the fleet has
 * to tolerate it.
 */
final class RandomFaultScheduler {
  private static final long MIN_INTERVAL = 100 * VirtualTime.MILLISECOND;
  private static final long MAX_EXTRA_INTERVAL = 2_500 * VirtualTime.MILLISECOND;

  private final EmulatedFleet fleet;
  private final SplittableRandom random;
  private final RandomFaultContext context;
  private final List<Runnable> faults;

  RandomFaultScheduler(EmulatedFleet fleet, SplittableRandom random) {
    this.fleet = fleet;
    this.random = random;
    this.context = new RandomFaultContext(fleet, random);
    this.faults = faults();
  }

  /** All kinds of faults; one that stands twice is twice as likely. The order decides runs. */
  private List<Runnable> faults() {
    RandomProcessFaults process = new RandomProcessFaults(context);
    RandomDiskFaults disk = new RandomDiskFaults(context, process);
    RandomNetworkFaults network = new RandomNetworkFaults(context);
    RandomClientChanges client = new RandomClientChanges(context);
    return List.of(
        process::killCore,
        network::restartDuringPartition,
        process::shutDownCore,
        process::powerOffCore,
        process::killAllCores,
        process::powerOffAllCores,
        process::killAllProcesses,
        process::freezeCore,
        process::freezeCore,
        network::partitionGroups,
        network::partitionGroups,
        network::partitionOneWay,
        network::resetConnections,
        network::slowLinks,
        disk::slowDisk,
        disk::hangDisk,
        disk::fillDisk,
        disk::loseDisk,
        disk::loseDisk,
        disk::replaceCore,
        disk::loseDiskWhileOthersLosePower,
        process::killDoor,
        process::freezeDoor,
        network::partitionDoor,
        process::stepClock,
        fleet.faults()::updateSeeds,
        client::changeBackends,
        client::changeBackends,
        client::changeLoad);
  }

  /** Injects the next fault after a random interval, and so on until stopped. */
  void start() {
    context.after(
        MIN_INTERVAL + random.nextLong(MAX_EXTRA_INTERVAL),
        () -> {
          faults.get(random.nextInt(faults.size())).run();
          start();
        });
  }

  void stop() {
    context.stop();
  }

  boolean isStopped() {
    return context.isStopped();
  }
}
