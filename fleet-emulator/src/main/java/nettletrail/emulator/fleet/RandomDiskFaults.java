package nettletrail.emulator.fleet;

import java.util.SplittableRandom;
import nettletrail.emulator.simulation.SimulatedDisk;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * Random faults and losses of the core's disks and machines. A disk is lost only while the fleet
 * has to tolerate it; see {@link EmulatedFleet#mayLoseDisk}.
 */
final class RandomDiskFaults {
  private static final long MAX_LATENCY = 200 * VirtualTime.MILLISECOND;
  private static final int MAX_FREE_BYTES = 3_000;

  private final RandomFaultContext context;
  private final EmulatedFleet fleet;
  private final FaultInjector faults;
  private final DiskFaults diskFaults;
  private final RandomProcessFaults processFaults;
  private final SplittableRandom random;

  RandomDiskFaults(RandomFaultContext context, RandomProcessFaults processFaults) {
    this.context = context;
    this.fleet = context.fleet();
    this.faults = fleet.faults();
    this.diskFaults = fleet.diskFaults();
    this.processFaults = processFaults;
    this.random = context.random();
  }

  void slowDisk() {
    CoreMachine core = context.anyCore();
    diskFaults.slowDisk(core, 1 + random.nextLong(MAX_LATENCY));
    context.afterRandomDelay(
        RandomFaultContext.MAX_FAULT,
        () -> diskFaults.slowDisk(core, SimulatedDisk.DEFAULT_LATENCY));
  }

  void hangDisk() {
    diskFaults.hangDisk(context.anyCore(), random.nextLong(RandomFaultContext.MAX_FAULT));
  }

  void fillDisk() {
    CoreMachine core = context.anyCore();
    diskFaults.fillDisk(core, random.nextInt(MAX_FREE_BYTES));
    context.afterRandomDelay(RandomFaultContext.MAX_FAULT, () -> diskFaults.freeDisk(core));
  }

  void loseDisk() {
    CoreMachine core = context.anyCore();
    if (fleet.mayLoseDisk(core)) {
      faults.wipe(core);
      context.afterRandomDelay(RandomFaultContext.MAX_RESTART_DELAY, () -> faults.start(core));
    }
  }

  void replaceCore() {
    CoreMachine core = context.anyCore();
    if (fleet.mayLoseDisk(core)) {
      faults.replace(core);
    }
  }

  void loseDiskWhileOthersLosePower() {
    CoreMachine lost = context.anyCore();
    if (!fleet.mayLoseDisk(lost)) {
      return;
    }
    faults.wipe(lost);
    for (CoreMachine core : fleet.cores()) {
      if (core != lost) {
        processFaults.powerOff(core, RandomFaultContext.MAX_RESTART_DELAY);
      }
    }
    context.afterRandomDelay(RandomFaultContext.MAX_RESTART_DELAY, () -> faults.start(lost));
  }
}
