package nettletrail.emulator.fleet;

import java.util.List;
import nettletrail.emulator.host.CoreObserver;
import nettletrail.emulator.host.CoreProcess;
import nettletrail.emulator.simulation.Machine;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.store.StorageException;

/**
 * A core machine over all lives of its process. A process that can't use its disk ends by itself
 * and is started again.
 */
public final class CoreNode {
  private static final long RESTART_PAUSE = 500 * VirtualTime.MILLISECOND;

  private final Simulation simulation;
  private final Machine machine;
  private final Bounds bounds;
  private final CoreObserver observer;
  private List<String> seeds;
  private CoreProcess process;

  CoreNode(
      Simulation simulation,
      Machine machine,
      Bounds bounds,
      CoreObserver observer,
      List<String> seeds) {
    this.simulation = simulation;
    this.machine = machine;
    this.bounds = bounds;
    this.observer = observer;
    this.seeds = List.copyOf(seeds);
  }

  /** The machine. */
  public Machine machine() {
    return machine;
  }

  /** The process; of its last life while there is none. Null before the first start. */
  public CoreProcess process() {
    return process;
  }

  /** Where operators and backends call. */
  public String controlAddress() {
    return machine.host() + CoreProcess.CONTROL_PORT;
  }

  /** Where other processes dial. */
  public String linkAddress() {
    return machine.host() + CoreProcess.LINK_PORT;
  }

  void setSeeds(List<String> addresses) {
    seeds = List.copyOf(addresses);
  }

  void start(boolean firstRun) {
    Machine.Incarnation incarnation = machine.start();
    try {
      process =
          new CoreProcess(
              simulation,
              incarnation,
              seeds,
              firstRun,
              bounds.heartbeat() / VirtualTime.MILLISECOND,
              bounds.grantTerms(),
              observer);
    } catch (StorageException unusable) {
      machine.end(Machine.End.KILL);
      simulation.time().after(RESTART_PAUSE, this::startIfDown);
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
