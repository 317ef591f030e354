package nettletrail.emulator.fleet;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import nettletrail.emulator.actors.BackendActor;
import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.actors.OperatorActor;
import nettletrail.emulator.checker.Guarantee;
import nettletrail.emulator.checker.Violation;
import nettletrail.emulator.host.DoorProcess;
import nettletrail.emulator.simulation.NetworkSettings;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.BackendState;

/**
 * A day drawn from a seed: a fleet under random troubles with racing operators and backends that
 * come and go; then all troubles end and the fleet has to recover, to tell what was acknowledged,
 * and to know its backends.
 */
public final class RandomRun {
  private static final long TROUBLED = 14 * VirtualTime.SECOND;
  private static final long CALM = 6 * VirtualTime.SECOND;
  private static final long STEP = 100 * VirtualTime.MILLISECOND;
  private static final long LONGEST_OPERATOR_PAUSE = 1_500 * VirtualTime.MILLISECOND;
  private static final int MAX_ATTEMPTS = 6;
  private static final int PERSISTENT = 1_000;
  private static final double LARGE_CORE_PART = 0.3;
  private static final double ROUGH_NETWORK_PART = 0.4;

  private final long seed;
  private final long recover;
  private final EmulatedFleet fleet;
  private final SplittableRandom random;
  private final RandomFaultScheduler randomFaults;
  private int acknowledged;

  /** Prepares the run of a seed. */
  public RandomRun(long seed) {
    this.seed = seed;
    SplittableRandom drawn = new SplittableRandom(seed);
    FleetOptions size =
        drawn.nextDouble() < LARGE_CORE_PART ? FleetOptions.large() : FleetOptions.small();
    NetworkSettings network =
        drawn.nextDouble() < ROUGH_NETWORK_PART ? NetworkSettings.rough() : NetworkSettings.calm();
    this.fleet = new EmulatedFleet(seed, size.withNetwork(network));
    this.recover = size.checkedLimits().recover();
    this.random = drawn.split();
    this.randomFaults = new RandomFaultScheduler(fleet, drawn.split());
  }

  /** The fleet, to be looked at. */
  public EmulatedFleet fleet() {
    return fleet;
  }

  /** Hands all lines of the log to a reader. */
  public RandomRun withLog(Consumer<String> reader) {
    fleet.simulation().log().readBy(reader);
    return this;
  }

  /** Runs the whole day; returns what was broken. */
  public List<Violation> run() {
    fleet.startAll();
    beginOperator(fleet.addOperator());
    beginOperator(fleet.addOperator());
    fleet.addBackend();
    fleet.addBackend();
    fleet.time().runUntil(2 * VirtualTime.SECOND);
    randomFaults.begin();
    fleet.time().runFor(TROUBLED);
    randomFaults.stop();
    fleet.faults().endAll();
    checkRecovery();
    fleet.time().runFor(CALM);
    checkBackends();
    readBack();
    fleet.checker().checkHistory();
    return fleet.checker().violations();
  }

  private void beginOperator(OperatorActor operator) {
    fleet.time().after(random.nextLong(LONGEST_OPERATOR_PAUSE), () -> work(operator));
  }

  private void work(OperatorActor operator) {
    if (operator.isIdle() && !randomFaults.isStopped()) {
      operator.submitChange(1 + random.nextInt(MAX_ATTEMPTS));
    }
    fleet.time().after(random.nextLong(LONGEST_OPERATOR_PAUSE), () -> work(operator));
  }

  /** An operator who knows the newest version has to get an order taken in time. */
  private void checkRecovery() {
    long deadline = fleet.time().now() + recover;
    OperatorActor operator = fleet.addOperator();
    operator.read();
    if (!waitUntilIdle(operator, deadline)) {
      report(Guarantee.RECOVERY, "no configuration is read after all troubles have ended");
      return;
    }
    acknowledged = fleet.checker().acknowledgedChanges();
    operator.submitChange(PERSISTENT);
    if (!waitUntilIdle(operator, deadline)) {
      report(Guarantee.RECOVERY, "no order is acknowledged after all troubles have ended");
    }
  }

  private void readBack() {
    OperatorActor reader = fleet.addOperator();
    reader.read();
    if (!waitUntilIdle(reader, fleet.time().now() + recover)) {
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

  private void checkBackend(DoorProcess door, BackendActor backend) {
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
