package nettletrail.emulator.fleet;

import java.util.List;
import java.util.SplittableRandom;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.VirtualTime;

/** Random ends and suspensions of processes, and clock steps. */
final class RandomProcessFaults {
  /** Exclusive limit of the delay of a quick restart, in nanoseconds. */
  static final long MAX_QUICK_RESTART_DELAY = 200 * VirtualTime.MILLISECOND;

  private static final long KILL_SPREAD = 400 * VirtualTime.MILLISECOND;
  private static final long MAX_HERD_RESTART_DELAY = VirtualTime.SECOND;
  private static final long MAX_CLOCK_STEP = 5 * VirtualTime.SECOND;

  private final RandomFaultContext context;
  private final EmulatedFleet fleet;
  private final FaultInjector faults;
  private final SplittableRandom random;

  RandomProcessFaults(RandomFaultContext context) {
    this.context = context;
    this.fleet = context.fleet();
    this.faults = fleet.faults();
    this.random = context.random();
  }

  void killCore() {
    boolean quick = random.nextBoolean();
    long maxDelay = quick ? MAX_QUICK_RESTART_DELAY : RandomFaultContext.MAX_FAULT;
    faults.restart(context.anyCore(), random.nextLong(maxDelay));
  }

  void shutDownCore() {
    CoreMachine core = context.anyCore();
    faults.shutDown(core);
    context.after(RandomFaultContext.MAX_RESTART_DELAY, () -> faults.start(core));
  }

  void powerOffCore() {
    powerOff(context.anyCore(), RandomFaultContext.MAX_FAULT);
  }

  /** A core machine loses power and starts again after a random time below a limit. */
  void powerOff(CoreMachine core, long maxDelayNanos) {
    faults.losePower(core.machine());
    context.afterRandomDelay(maxDelayNanos, () -> faults.start(core));
  }

  void killAllCores() {
    for (CoreMachine core : List.copyOf(fleet.cores())) {
      context.afterRandomDelay(
          KILL_SPREAD,
          () -> faults.restart(core, random.nextLong(RandomFaultContext.MAX_RESTART_DELAY)));
    }
  }

  void powerOffAllCores() {
    for (CoreMachine core : List.copyOf(fleet.cores())) {
      powerOff(core, RandomFaultContext.MAX_RESTART_DELAY);
    }
  }

  /** All core processes and all doors are killed at once, and are back within a second. */
  void killAllProcesses() {
    for (CoreMachine core : List.copyOf(fleet.cores())) {
      faults.restart(core, random.nextLong(MAX_HERD_RESTART_DELAY));
    }
    for (DoorMachine door : List.copyOf(fleet.doors())) {
      faults.kill(door.machine());
      context.afterRandomDelay(MAX_HERD_RESTART_DELAY, () -> faults.start(door));
    }
  }

  void freezeCore() {
    freeze(context.anyCore().machine());
  }

  void killDoor() {
    DoorMachine door = context.anyDoor();
    faults.kill(door.machine());
    context.afterRandomDelay(RandomFaultContext.MAX_RESTART_DELAY, () -> faults.start(door));
  }

  void freezeDoor() {
    freeze(context.anyDoor().machine());
  }

  private void freeze(SimulatedMachine machine) {
    faults.freeze(machine);
    context.afterRandomDelay(RandomFaultContext.MAX_FAULT, () -> faults.thaw(machine));
  }

  void stepClock() {
    faults.stepClock(context.anyMachine(), random.nextLong(-MAX_CLOCK_STEP, MAX_CLOCK_STEP));
  }
}
