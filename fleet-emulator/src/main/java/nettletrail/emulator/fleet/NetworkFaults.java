package nettletrail.emulator.fleet;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.Simulation;

/** Injects faults of the network into a fleet: partitions, connection resets and latency. */
public final class NetworkFaults {
  private final Simulation simulation;
  private final EmulatedFleet fleet;
  private final StabilityTracker stability;
  private final Set<SimulatedMachine> partitionedMachines = new LinkedHashSet<>();

  NetworkFaults(Simulation simulation, EmulatedFleet fleet, StabilityTracker stability) {
    this.simulation = simulation;
    this.fleet = fleet;
    this.stability = stability;
  }

  /** Partitions each machine of one group from each machine of another, in both directions. */
  public void partition(List<SimulatedMachine> group, List<SimulatedMachine> others) {
    log("partition %s from %s", group, others);
    for (SimulatedMachine machine : group) {
      for (SimulatedMachine other : others) {
        recordPartition(machine, other);
        simulation.network().partition(machine, other);
      }
    }
  }

  /** Lets nothing through from one machine to another; the other direction stays as it is. */
  public void partitionOneWay(SimulatedMachine from, SimulatedMachine to) {
    log("partition one way from %s to %s", from, to);
    recordPartition(from, to);
    simulation.network().partitionOneWay(from, to);
  }

  /** Ends all partitions. */
  public void healPartitions() {
    log("heal partitions");
    partitionedMachines.forEach(stability::recordFault);
    partitionedMachines.clear();
    simulation.network().healAllPartitions();
  }

  /**
   * A partition within the core is a fault of both core machines; any other is a fault of the
   * machine outside the core only.
   */
  private void recordPartition(SimulatedMachine one, SimulatedMachine other) {
    boolean withinCore = isCore(one) && isCore(other);
    for (SimulatedMachine machine : List.of(one, other)) {
      if (withinCore || !isCore(machine)) {
        stability.recordFault(machine);
        partitionedMachines.add(machine);
      }
    }
  }

  private boolean isCore(SimulatedMachine machine) {
    return fleet.cores().stream().anyMatch(core -> core.machine() == machine);
  }

  /** Resets all connections of a machine. */
  public void resetConnections(SimulatedMachine machine) {
    log("reset connections of %s", machine);
    stability.recordFault(machine);
    simulation.network().resetConnections(machine);
  }

  /**
   * Adds latency in both directions between a machine and all core machines.
   *
   * @param extraNanos the latency to add, in nanoseconds; 0 ends the fault
   */
  public void slowLinks(SimulatedMachine machine, long extraNanos) {
    log("links of %s take %d ns more", machine, extraNanos);
    stability.setLastingFault(machine, extraNanos > 0);
    for (CoreMachine core : fleet.cores()) {
      simulation.network().setExtraDelay(machine, core.machine(), extraNanos);
      simulation.network().setExtraDelay(core.machine(), machine, extraNanos);
    }
  }

  private void log(String format, Object... arguments) {
    simulation.log().add(format, arguments);
  }
}
