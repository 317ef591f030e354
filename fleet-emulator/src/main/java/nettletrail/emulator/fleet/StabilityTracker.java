package nettletrail.emulator.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import nettletrail.emulator.simulation.Network;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * Tells for which machines the limits on time hold. A machine is stable if it runs and has had no
 * fault for some time, the core has been stable for that time, and there is a path in both
 * directions to every running core machine that reaches a majority of the core.
 */
final class StabilityTracker {
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final VirtualTime time;
  private final Network network;
  private final long stablePeriodNanos;
  private final Supplier<List<SimulatedMachine>> core;
  private final Map<SimulatedMachine, Long> lastFaults = new HashMap<>();
  private final Set<SimulatedMachine> withLastingFault = new HashSet<>();
  private long lastCoreFault = NEVER;

  /**
   * @param stablePeriodNanos how long no fault may have happened, in nanoseconds
   * @param core the machines of the core, running or not
   */
  StabilityTracker(
      VirtualTime time,
      Network network,
      long stablePeriodNanos,
      Supplier<List<SimulatedMachine>> core) {
    this.time = time;
    this.network = network;
    this.stablePeriodNanos = stablePeriodNanos;
    this.core = core;
  }

  /** A machine has a fault now. */
  void recordFault(SimulatedMachine machine) {
    lastFaults.put(machine, time.now());
    if (core.get().contains(machine)) {
      lastCoreFault = time.now();
    }
  }

  /** A fault begins that lasts and that the state of the machine or the network does not show. */
  void beginFault(SimulatedMachine machine) {
    recordFault(machine);
    withLastingFault.add(machine);
  }

  /** A lasting fault has ended. */
  void endFault(SimulatedMachine machine) {
    recordFault(machine);
    withLastingFault.remove(machine);
  }

  /** A lasting fault begins or ends. */
  void setLastingFault(SimulatedMachine machine, boolean lasting) {
    if (lasting) {
      beginFault(machine);
    } else {
      endFault(machine);
    }
  }

  /**
   * How many core machines count as lost: they are down, frozen, faulty or partitioned from another
   * running one, or were so less than the time to catch up ago.
   */
  int lostCores(long catchUpNanos) {
    int lost = 0;
    for (SimulatedMachine machine : core.get()) {
      boolean caughtUp = time.now() - lastFaults.getOrDefault(machine, NEVER) >= catchUpNanos;
      boolean healthy =
          machine.isRunning() && !withLastingFault.contains(machine) && isConnectedToAll(machine);
      lost += caughtUp && healthy ? 0 : 1;
    }
    return lost;
  }

  private boolean isConnectedToAll(SimulatedMachine machine) {
    return core.get().stream()
        .filter(SimulatedMachine::isRunning)
        .allMatch(other -> isConnected(machine, other));
  }

  /** True if the limits on time hold for a machine now. */
  boolean isStable(SimulatedMachine machine) {
    return machine.isRunning()
        && !withLastingFault.contains(machine)
        && isStablePeriodOver(lastFaults.getOrDefault(machine, NEVER))
        && isCoreStable()
        && reachesCore(machine);
  }

  private boolean isStablePeriodOver(long lastFault) {
    return time.now() - lastFault >= stablePeriodNanos;
  }

  private boolean isCoreStable() {
    List<SimulatedMachine> machines = core.get();
    boolean majority = machines.stream().anyMatch(this::reachesMajority);
    return majority
        && isStablePeriodOver(lastCoreFault)
        && machines.stream().noneMatch(withLastingFault::contains);
  }

  private boolean reachesMajority(SimulatedMachine machine) {
    List<SimulatedMachine> machines = core.get();
    long reached = machines.stream().filter(other -> isConnected(machine, other)).count();
    return machine.isRunning() && 2 * reached > machines.size();
  }

  private boolean isConnected(SimulatedMachine machine, SimulatedMachine other) {
    boolean connected =
        !network.isPartitioned(machine, other) && !network.isPartitioned(other, machine);
    return other.isRunning() && connected;
  }

  private boolean reachesCore(SimulatedMachine machine) {
    return core.get().stream()
        .filter(this::reachesMajority)
        .allMatch(other -> isConnected(machine, other));
  }
}
