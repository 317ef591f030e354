package nettletrail.emulator.fleet;

import java.util.List;
import nettletrail.emulator.actors.ClientObserver;
import nettletrail.emulator.actors.DoorTraffic;
import nettletrail.emulator.host.DoorProcess;
import nettletrail.emulator.simulation.Machine;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;

/** A door's machine over all lives of its process, with the traffic that comes there. */
public final class DoorMachine {
  private static final long TOKENS_PER_REQUEST = 1_500;

  private final Simulation simulation;
  private final Machine machine;
  private final GuaranteeLimits checkedLimits;
  private final StabilityTracker contact;
  private final ClientObserver observations;
  private final double tokensPerSecond;
  private List<String> seeds;
  private DoorProcess process;
  private DoorTraffic traffic;

  DoorMachine(
      Simulation simulation,
      Machine machine,
      GuaranteeLimits checkedLimits,
      StabilityTracker contact,
      ClientObserver observations,
      double tokensPerSecond,
      List<String> seeds) {
    this.simulation = simulation;
    this.machine = machine;
    this.checkedLimits = checkedLimits;
    this.contact = contact;
    this.observations = observations;
    this.tokensPerSecond = tokensPerSecond;
    this.seeds = List.copyOf(seeds);
  }

  /** The machine. */
  public Machine machine() {
    return machine;
  }

  /** The process; of its last life while there is none. Null before the first start. */
  public DoorProcess process() {
    return process;
  }

  /** The traffic at the present process. */
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
    DoorProcess.Promises promises =
        new DoorProcess.Promises(
            checkedLimits.revoke() / VirtualTime.MILLISECOND,
            checkedLimits.activation() / VirtualTime.MILLISECOND);
    process = new DoorProcess(simulation, machine.start(), seeds, promises);
    traffic =
        new DoorTraffic(
            process,
            () -> contact.isStable(machine),
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
