package nettletrail.emulator.fleet;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import nettletrail.emulator.simulation.Machine;
import nettletrail.emulator.simulation.SimulatedDisk;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;

/** Everything that can befall a fleet, with a note of it for the question who is in touch. */
public final class FaultInjector {
  private static final long GRACE = 100 * VirtualTime.MILLISECOND;

  private final Simulation simulation;
  private final EmulatedFleet fleet;
  private final StabilityTracker contact;
  private final Set<Machine> partitionedMachines = new LinkedHashSet<>();

  FaultInjector(Simulation simulation, EmulatedFleet fleet, StabilityTracker contact) {
    this.simulation = simulation;
    this.fleet = fleet;
    this.contact = contact;
  }

  // Processes

  /** Ends a process, if there is one. */
  public void kill(Machine machine) {
    log("kill %s", machine);
    contact.fault(machine);
    machine.end(Machine.End.KILL);
  }

  /** A machine loses power. */
  public void losePower(Machine machine) {
    log("power loss at %s", machine);
    contact.fault(machine);
    machine.end(Machine.End.POWER_LOSS);
  }

  /** Starts a core process that has ended. */
  public void start(CoreMachine core) {
    if (!core.machine().isUp()) {
      contact.fault(core.machine());
      log("start %s", core);
      core.start(false);
    }
  }

  /** Starts a door that has ended. */
  public void start(DoorMachine door) {
    if (!door.machine().isUp()) {
      contact.fault(door.machine());
      log("start %s", door);
      door.start();
    }
  }

  /** Kills a core process and starts it again after a pause in nanoseconds. */
  public void restart(CoreMachine core, long pause) {
    kill(core.machine());
    simulation.time().after(pause, () -> start(core));
  }

  /** A core process is told to end, and has ended a little later. */
  public void terminate(CoreMachine core) {
    log("terminate %s", core);
    contact.fault(core.machine());
    if (core.machine().isUp()) {
      core.machine().incarnation().run(core.process()::release);
      Machine.Incarnation incarnation = core.machine().incarnation();
      incarnation.after(GRACE, () -> kill(core.machine()));
    }
  }

  /** Stops a process between two steps. */
  public void freeze(Machine machine) {
    log("freeze %s", machine);
    contact.fault(machine);
    machine.freeze();
  }

  /** Lets a frozen process go on. */
  public void thaw(Machine machine) {
    log("thaw %s", machine);
    contact.fault(machine);
    machine.thaw();
  }

  // Machines of the core

  /** A core machine loses its disk and comes back at its address with an empty one. */
  public void wipe(CoreMachine core) {
    log("wipe %s", core);
    contact.fault(core.machine());
    core.machine().end(Machine.End.POWER_LOSS);
    core.machine().disk().wipe();
  }

  /**
   * Takes a core machine away for good and adds an empty one at another address, which starts at
   * once.
   */
  public CoreMachine replace(CoreMachine core) {
    log("replace %s", core);
    contact.fault(core.machine());
    core.machine().end(Machine.End.POWER_LOSS);
    fleet.removeCore(core);
    CoreMachine successor = fleet.addCore();
    contact.fault(successor.machine());
    successor.start(false);
    return successor;
  }

  /** All processes hear of other seeds: core machines as they are now. */
  public void updateSeeds() {
    log("exchange seeds");
    List<String> seeds = fleet.seedsForNewMachine();
    fleet.cores().forEach(core -> core.setSeeds(seeds));
    fleet.doors().forEach(door -> door.setSeeds(seeds));
  }

  // Network

  /** Nothing gets through between two groups of machines. */
  public void cut(List<Machine> group, List<Machine> others) {
    log("cut %s from %s", group, others);
    for (Machine machine : group) {
      for (Machine other : others) {
        recordPartition(machine, other);
        simulation.network().cut(machine, other);
      }
    }
  }

  /** Nothing gets through from one machine to another. */
  public void partitionOneWay(Machine from, Machine to) {
    log("cut one way from %s to %s", from, to);
    recordPartition(from, to);
    simulation.network().partitionOneWay(from, to);
  }

  /** Ends all cuts. */
  public void healPartitions() {
    log("heal cuts");
    partitionedMachines.forEach(contact::fault);
    partitionedMachines.clear();
    simulation.network().healAllPartitions();
  }

  /**
   * A cut between core machines concerns the core; any other cut concerns the machine outside only.
   */
  private void recordPartition(Machine one, Machine other) {
    boolean withinCore = isCore(one) && isCore(other);
    for (Machine machine : List.of(one, other)) {
      if (withinCore || !isCore(machine)) {
        contact.fault(machine);
        partitionedMachines.add(machine);
      }
    }
  }

  private boolean isCore(Machine machine) {
    return fleet.cores().stream().anyMatch(core -> core.machine() == machine);
  }

  /** Resets all connections of a machine. */
  public void resetConnections(Machine machine) {
    log("reset connections of %s", machine);
    contact.fault(machine);
    simulation.network().resetConnections(machine);
  }

  /** Adds to the delay in both directions between a machine and all core machines; 0 ends it. */
  public void slowLinks(Machine machine, long extra) {
    log("links of %s take %d ns more", machine, extra);
    noteLasting(machine, extra > 0);
    for (CoreMachine core : fleet.cores()) {
      simulation.network().setExtraDelay(machine, core.machine(), extra);
      simulation.network().setExtraDelay(core.machine(), machine, extra);
    }
  }

  // Disks and clocks

  /** Every call of a disk takes so long, in nanoseconds. */
  public void slowDisk(CoreMachine core, long latency) {
    log("calls to the disk of %s take %d ns", core, latency);
    noteLasting(core.machine(), latency > SimulatedDisk.DEFAULT_LATENCY);
    core.machine().disk().setLatency(latency);
  }

  /** Calls of a disk hang for a span in nanoseconds. */
  public void hangDisk(CoreMachine core, long span) {
    log("disk of %s hangs for %d ns", core, span);
    contact.begin(core.machine());
    core.machine().disk().hangUntil(simulation.time().now() + span);
    simulation.time().after(span, () -> contact.end(core.machine()));
  }

  /** A disk takes only so many bytes more. */
  public void fillDisk(CoreMachine core, long freeBytes) {
    log("disk of %s has %d bytes left", core, freeBytes);
    contact.begin(core.machine());
    core.machine().disk().setFreeBytes(freeBytes);
  }

  /** A disk that was full takes writes again. */
  public void freeDisk(CoreMachine core) {
    log("disk of %s has room", core);
    contact.end(core.machine());
    core.machine().disk().setUnlimited();
  }

  /** The time of day of a machine jumps. */
  public void stepClock(Machine machine, long span) {
    log("time of day of %s jumps by %d ns", machine, span);
    contact.fault(machine);
    machine.clock().stepTimeOfDay(span);
  }

  private void noteLasting(Machine machine, boolean begins) {
    if (begins) {
      contact.begin(machine);
    } else {
      contact.end(machine);
    }
  }

  /** Ends everything that lasts: all machines run, connected, with good disks. */
  public void endAll() {
    log("end of all troubles");
    healPartitions();
    for (CoreMachine core : List.copyOf(fleet.cores())) {
      thaw(core.machine());
      slowLinks(core.machine(), 0);
      slowDisk(core, SimulatedDisk.DEFAULT_LATENCY);
      core.machine().disk().hangUntil(simulation.time().now());
      freeDisk(core);
      start(core);
    }
    for (DoorMachine door : fleet.doors()) {
      thaw(door.machine());
      slowLinks(door.machine(), 0);
      start(door);
    }
  }

  private void log(String format, Object... arguments) {
    simulation.log().add(format, arguments);
  }
}
