package nettletrail.emulator.fleet;

import java.util.List;
import nettletrail.emulator.actors.ClientObserver;
import nettletrail.emulator.actors.DoorTraffic;
import nettletrail.emulator.host.EmulatedDoorProcess;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;

/** A door's machine through all incarnations of its process, with the requests it receives. */
public final class DoorMachine {
  private static final long TOKENS_PER_REQUEST = 1_500;

  private final Simulation simulation;
  private final SimulatedMachine machine;
  private final GuaranteeLimits limits;
  private final StabilityTracker stability;
  private final ClientObserver observations;
  private final double tokensPerSecond;
  private List<String> seeds;
  private EmulatedDoorProcess process;
  private DoorTraffic traffic;

  DoorMachine(
      Simulation simulation,
      SimulatedMachine machine,
      GuaranteeLimits limits,
      StabilityTracker stability,
      ClientObserver observations,
      double tokensPerSecond,
      List<String> seeds) {
    this.simulation = simulation;
    this.machine = machine;
    this.limits = limits;
    this.stability = stability;
    this.observations = observations;
    this.tokensPerSecond = tokensPerSecond;
    this.seeds = List.copyOf(seeds);
  }

  /** The machine. */
  public SimulatedMachine machine() {
    return machine;
  }

  /** The present or else the last process; null before the first start. */
  public EmulatedDoorProcess process() {
    return process;
  }

  /** The requests at the present process; null before the first start. */
  public DoorTraffic traffic() {
    return traffic;
  }

  void setSeeds(List<String> addresses) {
    seeds = List.copyOf(addresses);
    if (machine.isUp()) {
      machine.incarnation().run(() -> process.settingsChanged(seeds));
    }
  }

  void start() {
    EmulatedDoorProcess.DoorLimits processLimits =
        new EmulatedDoorProcess.DoorLimits(
            limits.keyRevocationNanos() / VirtualTime.MILLISECOND,
            limits.activationNanos() / VirtualTime.MILLISECOND);
    process = new EmulatedDoorProcess(simulation, machine.start(), seeds, processLimits);
    traffic =
        new DoorTraffic(
            process,
            () -> stability.isStable(machine),
            observations,
            simulation.newRandom(),
            tokensPerSecond,
            TOKENS_PER_REQUEST);
  }

  @Override
  public String toString() {
    return machine.name();
  }
}
