package nettletrail.emulator.fleet;

import java.util.List;
import nettletrail.emulator.host.CoreObserver;
import nettletrail.emulator.host.EmulatedCoreProcess;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.store.StorageException;

/**
 * A core machine through all incarnations of its process. A process that can't read its disk ends
 * and is restarted after 500 ms.
 */
public final class CoreMachine {
  private static final long RESTART_DELAY = 500 * VirtualTime.MILLISECOND;

  private final Simulation simulation;
  private final SimulatedMachine machine;
  private final GuaranteeLimits limits;
  private final CoreObserver observer;
  private List<String> seeds;
  private EmulatedCoreProcess process;

  CoreMachine(
      Simulation simulation,
      SimulatedMachine machine,
      GuaranteeLimits limits,
      CoreObserver observer,
      List<String> seeds) {
    this.simulation = simulation;
    this.machine = machine;
    this.limits = limits;
    this.observer = observer;
    this.seeds = List.copyOf(seeds);
  }

  /** The machine. */
  public SimulatedMachine machine() {
    return machine;
  }

  /** The present or else the last process; null before the first start. */
  public EmulatedCoreProcess process() {
    return process;
  }

  /** The address for calls of operators and backends. */
  public String controlAddress() {
    return machine.host() + EmulatedCoreProcess.CONTROL_PORT;
  }

  /** The address that other processes dial. */
  public String linkAddress() {
    return machine.host() + EmulatedCoreProcess.LINK_PORT;
  }

  void setSeeds(List<String> addresses) {
    seeds = List.copyOf(addresses);
  }

  void start(boolean firstRun) {
    SimulatedMachine.Incarnation incarnation = machine.start();
    try {
      process =
          new EmulatedCoreProcess(
              simulation,
              incarnation,
              seeds,
              firstRun,
              limits.heartbeatNanos() / VirtualTime.MILLISECOND,
              limits.grantTerms(),
              observer);
    } catch (StorageException unusable) {
      machine.end(SimulatedMachine.End.KILL);
      simulation.time().after(RESTART_DELAY, this::startIfDown);
    }
  }

  private void startIfDown() {
    if (!machine.isUp() && machine.isPowered()) {
      start(false);
    }
  }

  @Override
  public String toString() {
    return machine.name();
  }
}
