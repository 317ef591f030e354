package nettletrail.emulator.fleet;

import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.Simulation;

/** Adds machines to a simulation, each with an IP address of its own. */
final class MachineAllocator {
  private static final int HOSTS_PER_NETWORK = 250;

  private final Simulation simulation;
  private int count;

  MachineAllocator(Simulation simulation) {
    this.simulation = simulation;
  }

  /** How many machines were added. */
  int count() {
    return count;
  }

  SimulatedMachine allocate(String name, boolean withDisk) {
    count++;
    int network = count / HOSTS_PER_NETWORK;
    int host = 1 + count % HOSTS_PER_NETWORK;
    return simulation.addMachine(name, "10.0." + network + "." + host, withDisk);
  }
}
