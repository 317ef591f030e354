package nettletrail.emulator.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import nettletrail.emulator.actors.BackendActor;
import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.actors.OperatorActor;
import nettletrail.emulator.checker.Guarantee;
import nettletrail.emulator.checker.Violation;
import nettletrail.emulator.host.EmulatedDoorProcess;
import nettletrail.emulator.simulation.CpuQuota;
import nettletrail.emulator.simulation.NetworkSettings;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.BackendState;

/**
 * One randomised run that follows from a seed: a fleet under random faults, with concurrent
 * operators and changing backends. Then all faults end and the fleet has to recover, to return the
 * acknowledged configuration and to list its backends.
 */
public final class RandomRun {
  private static final long FAULT_PERIOD = 14 * VirtualTime.SECOND;
  private static final long QUIET_PERIOD = 6 * VirtualTime.SECOND;
  private static final long STEP = 100 * VirtualTime.MILLISECOND;
  private static final long MAX_OPERATOR_INTERVAL = 1_500 * VirtualTime.MILLISECOND;
  private static final int MAX_ATTEMPTS = 6;
  private static final int UNLIMITED_ATTEMPTS = 1_000;
  private static final double LARGE_FLEET_PROBABILITY = 0.3;
  private static final double LOSSY_NETWORK_PROBABILITY = 0.4;
  private static final double CPU_QUOTA_PROBABILITY = 0.25;
  private static final long CPU_PERIOD = 100 * VirtualTime.MILLISECOND;
  private static final long MIN_CPU_RUN = 10 * VirtualTime.MILLISECOND;
  private static final long MAX_CPU_RUN = 50 * VirtualTime.MILLISECOND;

  private final long seed;
  private final long recoveryNanos;
  private final EmulatedFleet fleet;
  private final SplittableRandom random;
  private final RandomFaultScheduler randomFaults;
  private int acknowledged;

  /** Prepares the run of a seed. */
  public RandomRun(long seed) {
    this.seed = seed;
    SplittableRandom drawn = new SplittableRandom(seed);
    FleetOptions size =
        drawn.nextDouble() < LARGE_FLEET_PROBABILITY ? FleetOptions.large() : FleetOptions.small();
    NetworkSettings network =
        drawn.nextDouble() < LOSSY_NETWORK_PROBABILITY
            ? NetworkSettings.lossy()
            : NetworkSettings.reliable();
    this.fleet = new EmulatedFleet(seed, size.withNetwork(network));
    this.recoveryNanos = size.checkedLimits().recoveryNanos();
    this.random = drawn.split();
    this.randomFaults = new RandomFaultScheduler(fleet, drawn.split());
    if (drawn.nextDouble() < CPU_QUOTA_PROBABILITY) {
      limitCpu(drawn.split());
    }
  }

  /** All machines get a share of a core that other work on them uses up in each period. */
  private void limitCpu(SplittableRandom source) {
    long runNanos = source.nextLong(MIN_CPU_RUN, MAX_CPU_RUN);
    List<SimulatedMachine> machines = new ArrayList<>();
    fleet.cores().forEach(core -> machines.add(core.machine()));
    fleet.doors().forEach(door -> machines.add(door.machine()));
    for (SimulatedMachine machine : machines) {
      long offset = source.nextLong(CPU_PERIOD);
      machine.limitCpu(new CpuQuota(runNanos, CPU_PERIOD, offset));
    }
  }

  /** The fleet. */
  public EmulatedFleet fleet() {
    return fleet;
  }

  /** Passes all lines of the run log to a reader. */
  public RandomRun withLog(Consumer<String> reader) {
    fleet.simulation().log().readBy(reader);
    return this;
  }

  /** Plays the complete run and returns the violations. */
  public List<Violation> run() {
    fleet.startAll();
    beginOperator(fleet.addOperator());
    beginOperator(fleet.addOperator());
    fleet.addBackend();
    fleet.addBackend();
    fleet.time().runUntil(2 * VirtualTime.SECOND);
    randomFaults.start();
    fleet.time().runFor(FAULT_PERIOD);
    randomFaults.stop();
    fleet.faults().repairAll();
    checkRecovery();
    fleet.time().runFor(QUIET_PERIOD);
    checkBackends();
    readBack();
    fleet.checker().checkHistory();
    return fleet.checker().violations();
  }

  private void beginOperator(OperatorActor operator) {
    fleet.time().after(random.nextLong(MAX_OPERATOR_INTERVAL), () -> work(operator));
  }

  private void work(OperatorActor operator) {
    if (operator.isIdle() && !randomFaults.isStopped()) {
      operator.submitChange(1 + random.nextInt(MAX_ATTEMPTS));
    }
    fleet.time().after(random.nextLong(MAX_OPERATOR_INTERVAL), () -> work(operator));
  }

  /** An operator that has read the newest version must get a change acknowledged in time. */
  private void checkRecovery() {
    long deadline = fleet.time().now() + recoveryNanos;
    OperatorActor operator = fleet.addOperator();
    operator.read();
    if (!waitUntilIdle(operator, deadline)) {
      report(Guarantee.RECOVERY, "no configuration is read after all faults have ended");
      return;
    }
    acknowledged = fleet.checker().acknowledgedChanges();
    operator.submitChange(UNLIMITED_ATTEMPTS);
    if (!waitUntilIdle(operator, deadline)) {
      report(Guarantee.RECOVERY, "no change is acknowledged after all faults have ended");
    }
  }

  private void readBack() {
    OperatorActor reader = fleet.addOperator();
    reader.read();
    if (!waitUntilIdle(reader, fleet.time().now() + recoveryNanos)) {
      report(Guarantee.RECOVERY, "the configuration can't be read back");
    }
  }

  private boolean waitUntilIdle(OperatorActor operator, long deadline) {
    while (!operator.isIdle() && fleet.time().now() < deadline) {
      fleet.time().runFor(STEP);
    }
    return operator.isIdle();
  }

  private void checkBackends() {
    for (DoorMachine door : fleet.doors()) {
      for (BackendActor backend : fleet.backends()) {
        checkBackend(door.process(), backend);
      }
    }
  }

  private void checkBackend(EmulatedDoorProcess door, BackendActor backend) {
    boolean ready =
        door.backends(ChangeDocument.SERVICE).stream()
            .filter(entry -> entry.getState() == BackendState.READY)
            .anyMatch(entry -> entry.getId().equals(backend.id()));
    if (backend.stage() == BackendActor.Stage.SERVING && !ready) {
      report(Guarantee.BACKENDS_LISTED, door.name() + " does not list " + backend.id());
    }
  }

  private void report(Guarantee guarantee, String what) {
    fleet.checker().report(new Violation(guarantee, fleet.time().now(), what));
  }

  @Override
  public String toString() {
    return "seed "
        + seed
        + ": "
        + fleet.time().executed()
        + " events, "
        + fleet.changes().size()
        + " changes, "
        + acknowledged
        + " acknowledged";
  }
}
