package nettletrail.emulator.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * What all random faults share: the fleet, one source of randomness, the choice of targets and the
 * delayed end of a fault.
 */
final class RandomFaultContext {
  /** Exclusive limit of the time for which a fault lasts, in nanoseconds. */
  static final long MAX_FAULT = 4 * VirtualTime.SECOND;

  /** Exclusive limit of the time until an ended process is started again, in nanoseconds. */
  static final long MAX_RESTART_DELAY = VirtualTime.SECOND;

  private final EmulatedFleet fleet;
  private final SplittableRandom random;
  private boolean stopped;

  RandomFaultContext(EmulatedFleet fleet, SplittableRandom random) {
    this.fleet = fleet;
    this.random = random;
  }

  EmulatedFleet fleet() {
    return fleet;
  }

  SplittableRandom random() {
    return random;
  }

  /** No fault begins or ends any more. */
  void stop() {
    stopped = true;
  }

  boolean isStopped() {
    return stopped;
  }

  /** Half of the time the owner of the configuration, otherwise any core machine. */
  CoreMachine anyCore() {
    CoreMachine owner = fleet.configurationOwner();
    if (owner != null && random.nextBoolean()) {
      return owner;
    }
    return fleet.cores().get(random.nextInt(fleet.cores().size()));
  }

  DoorMachine anyDoor() {
    return fleet.doors().get(random.nextInt(fleet.doors().size()));
  }

  SimulatedMachine anyMachine() {
    return random.nextBoolean() ? anyCore().machine() : anyDoor().machine();
  }

  List<SimulatedMachine> coreAndDoors() {
    List<SimulatedMachine> machines = new ArrayList<>();
    fleet.cores().forEach(core -> machines.add(core.machine()));
    fleet.doors().forEach(door -> machines.add(door.machine()));
    return machines;
  }

  /** Runs an action after a random time below a limit in nanoseconds, unless stopped by then. */
  void afterRandomDelay(long maxDelayNanos, Runnable action) {
    after(random.nextLong(maxDelayNanos), action);
  }

  /** Runs an action after a delay in nanoseconds, unless stopped by then. */
  void after(long delayNanos, Runnable action) {
    fleet
        .time()
        .after(
            delayNanos,
            () -> {
              if (!stopped) {
                action.run();
              }
            });
  }
}
