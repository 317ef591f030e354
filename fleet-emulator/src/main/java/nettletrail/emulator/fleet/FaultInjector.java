package nettletrail.emulator.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.emulator.simulation.SimulatedDisk;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * Injects faults of processes and machines into a fleet. Each fault is recorded at the {@link
 * StabilityTracker}. See also {@link NetworkFaults} and {@link DiskFaults}.
 */
public final class FaultInjector {
  private static final long SHUTDOWN_GRACE = 100 * VirtualTime.MILLISECOND;

  private final Simulation simulation;
  private final EmulatedFleet fleet;
  private final StabilityTracker stability;

  /** The processes that were told to shut down last, by machine; they may have ended since. */
  private final Map<CoreMachine, SimulatedMachine.Incarnation> shutDown = new LinkedHashMap<>();

  FaultInjector(Simulation simulation, EmulatedFleet fleet, StabilityTracker stability) {
    this.simulation = simulation;
    this.fleet = fleet;
    this.stability = stability;
  }

  // Processes

  /** Kills the process of a machine, if there is one. */
  public void kill(SimulatedMachine machine) {
    log("kill %s", machine);
    stability.recordFault(machine);
    machine.end(SimulatedMachine.End.KILL);
  }

  /** A machine loses power. */
  public void losePower(SimulatedMachine machine) {
    log("power loss at %s", machine);
    stability.recordFault(machine);
    machine.end(SimulatedMachine.End.POWER_LOSS);
  }

  /** Starts a core process, unless it runs. */
  public void start(CoreMachine core) {
    if (!core.machine().isUp()) {
      stability.recordFault(core.machine());
      log("start %s", core);
      core.start(false);
    }
  }

  /** Starts a door, unless it runs. */
  public void start(DoorMachine door) {
    if (!door.machine().isUp()) {
      stability.recordFault(door.machine());
      log("start %s", door);
      door.start();
    }
  }

  /** Kills a core process and starts it again after a delay in nanoseconds. */
  public void restart(CoreMachine core, long delayNanos) {
    kill(core.machine());
    simulation.time().after(delayNanos, () -> start(core));
  }

  /** Shuts a core process down gracefully: it releases its leases and ends after a grace period. */
  public void shutDown(CoreMachine core) {
    log("shut down %s", core);
    stability.recordFault(core.machine());
    if (core.machine().isUp()) {
      core.machine().incarnation().run(core.process()::shutDown);
      SimulatedMachine.Incarnation incarnation = core.machine().incarnation();
      shutDown.put(core, incarnation);
      incarnation.after(SHUTDOWN_GRACE, () -> endShutdown(core, incarnation));
    }
  }

  private void endShutdown(CoreMachine core, SimulatedMachine.Incarnation incarnation) {
    shutDown.remove(core);
    if (incarnation.isAlive()) {
      kill(core.machine());
    }
  }

  /** Suspends a process between two steps. */
  public void freeze(SimulatedMachine machine) {
    log("freeze %s", machine);
    stability.recordFault(machine);
    machine.freeze();
  }

  /** Resumes a frozen process. */
  public void thaw(SimulatedMachine machine) {
    log("thaw %s", machine);
    stability.recordFault(machine);
    machine.thaw();
  }

  // Machines

  /** A core machine loses its disk, and its process ends; the address stays. */
  public void wipe(CoreMachine core) {
    log("wipe %s", core);
    stability.recordFault(core.machine());
    core.machine().end(SimulatedMachine.End.POWER_LOSS);
    core.machine().disk().wipe();
  }

  /**
   * Removes a core machine for good and adds one with an empty disk at another address, which
   * starts at once.
   */
  public CoreMachine replace(CoreMachine core) {
    log("replace %s", core);
    stability.recordFault(core.machine());
    core.machine().end(SimulatedMachine.End.POWER_LOSS);
    fleet.removeCore(core);
    CoreMachine successor = fleet.addCore();
    stability.recordFault(successor.machine());
    successor.start(false);
    return successor;
  }

  /** Gives all processes the present core machines as seeds. */
  public void updateSeeds() {
    log("update seeds");
    List<String> seeds = fleet.seedsForNewMachine();
    fleet.cores().forEach(core -> core.setSeeds(seeds));
    fleet.doors().forEach(door -> door.setSeeds(seeds));
  }

  /** The time of day of a machine jumps by a span in nanoseconds, which may be negative. */
  public void stepClock(SimulatedMachine machine, long spanNanos) {
    log("time of day of %s jumps by %d ns", machine, spanNanos);
    stability.recordFault(machine);
    machine.clock().stepTimeOfDay(spanNanos);
  }

  /**
   * Ends all lasting faults: all machines run, are connected and have working disks. A shutdown in
   * progress ends first, so that its process is started again too.
   */
  public void repairAll() {
    log("end of all faults");
    new LinkedHashMap<>(shutDown).forEach(this::endShutdown);
    fleet.networkFaults().healPartitions();
    for (CoreMachine core : List.copyOf(fleet.cores())) {
      thaw(core.machine());
      fleet.networkFaults().slowLinks(core.machine(), 0);
      fleet.diskFaults().slowDisk(core, SimulatedDisk.DEFAULT_LATENCY);
      core.machine().disk().hangUntil(simulation.time().now());
      fleet.diskFaults().freeDisk(core);
      start(core);
    }
    for (DoorMachine door : fleet.doors()) {
      thaw(door.machine());
      fleet.networkFaults().slowLinks(door.machine(), 0);
      start(door);
    }
  }

  private void log(String format, Object... arguments) {
    simulation.log().add(format, arguments);
  }
}
