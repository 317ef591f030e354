package nettletrail.emulator.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import nettletrail.emulator.actors.BackendActor;
import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.actors.OperatorActor;
import nettletrail.emulator.checker.Violation;
import nettletrail.emulator.fleet.CoreMachine;
import nettletrail.emulator.fleet.DiskFaults;
import nettletrail.emulator.fleet.DoorMachine;
import nettletrail.emulator.fleet.EmulatedFleet;
import nettletrail.emulator.fleet.FaultInjector;
import nettletrail.emulator.fleet.FleetOptions;
import nettletrail.emulator.fleet.NetworkFaults;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.BackendState;
import org.approvaltests.Approvals;

/**
 * One scenario over an emulated fleet: a fleet with a first configuration, faults, and
 * observations, recorded as a given-when-then text that is compared with an approved one. The
 * checkers run all the while; the violations are the last line of the text.
 */
final class Scenario {
  static final long SECOND = VirtualTime.SECOND;
  static final long MILLISECOND = VirtualTime.MILLISECOND;
  private static final int UNLIMITED_ATTEMPTS = 1_000;
  private static final long MAX_WAIT = 30 * SECOND;
  private static final long STEP = 10 * MILLISECOND;

  private final EmulatedFleet fleet;
  private final OperatorActor operator;
  private final StringBuilder text = new StringBuilder();

  private Scenario(EmulatedFleet fleet) {
    this.fleet = fleet;
    this.operator = fleet.addOperator();
  }

  /** A fleet with a first configuration that has run for 5 s without faults. */
  static Scenario givenFleet(long seed, int cores, int doors) {
    EmulatedFleet fleet = new EmulatedFleet(seed, FleetOptions.small().withMachines(cores, doors));
    fleet.startAll();
    Scenario scenario = new Scenario(fleet);
    scenario.operator.submitChange(UNLIMITED_ATTEMPTS);
    scenario.pass(5 * SECOND);
    scenario.line("Given", cores + " core machines, " + doors + " doors, a configuration");
    return scenario;
  }

  EmulatedFleet fleet() {
    return fleet;
  }

  FaultInjector faults() {
    return fleet.faults();
  }

  NetworkFaults networkFaults() {
    return fleet.networkFaults();
  }

  DiskFaults diskFaults() {
    return fleet.diskFaults();
  }

  /** The first operator. */
  OperatorActor operator() {
    return operator;
  }

  // Machines

  CoreMachine owner() {
    waitFor(() -> fleet.configurationOwner() != null);
    return fleet.configurationOwner();
  }

  /** The core machines that do not own the configuration shard. */
  List<CoreMachine> followers() {
    List<CoreMachine> followers = new ArrayList<>(fleet.cores());
    followers.remove(owner());
    return followers;
  }

  /** All core machines but one. */
  List<CoreMachine> othersThan(CoreMachine core) {
    List<CoreMachine> others = new ArrayList<>(fleet.cores());
    others.remove(core);
    return others;
  }

  List<SimulatedMachine> doorMachines() {
    return fleet.doors().stream().map(DoorMachine::machine).toList();
  }

  DoorMachine door(int index) {
    return fleet.doors().get(index);
  }

  List<SimulatedMachine> coreMachines() {
    return fleet.cores().stream().map(CoreMachine::machine).toList();
  }

  static List<SimulatedMachine> machines(List<CoreMachine> cores) {
    return cores.stream().map(CoreMachine::machine).toList();
  }

  // Time

  /** Runs the simulation for a span in nanoseconds. */
  Scenario pass(long span) {
    fleet.time().runFor(span);
    return this;
  }

  /** Runs the simulation until a condition holds, for at most 30 s; returns whether it does. */
  boolean waitFor(BooleanSupplier condition) {
    long deadline = fleet.time().now() + MAX_WAIT;
    while (!condition.getAsBoolean() && fleet.time().now() < deadline) {
      fleet.time().runFor(STEP);
    }
    return condition.getAsBoolean();
  }

  // Observations of operators

  /** The first operator submits a change until it is answered; true if it was acknowledged. */
  boolean changeIsAcknowledged() {
    int before = fleet.checker().acknowledgedChanges();
    operator.submitChange(UNLIMITED_ATTEMPTS);
    waitFor(operator::isIdle);
    return operator.isIdle() && fleet.checker().acknowledgedChanges() > before;
  }

  /** The version that a new operator reads. */
  ChangeDocument readBack() {
    OperatorActor reader = fleet.addOperator();
    reader.read();
    waitFor(reader::isIdle);
    return reader.newest();
  }

  // Observations at doors

  boolean lists(DoorMachine door, BackendActor backend, BackendState state) {
    return door.process().backends(ChangeDocument.SERVICE).stream()
        .anyMatch(entry -> entry.getId().equals(backend.id()) && entry.getState() == state);
  }

  boolean uses(DoorMachine door, ChangeDocument document) {
    return door.process().table() != null
        && ChangeDocument.changeIdOf(door.process().table()) == document.change().id();
  }

  // The text

  Scenario when(String what) {
    return line("When", what);
  }

  Scenario then(String what, Object seen) {
    return line("Then", what + ": " + seen);
  }

  private Scenario line(String kind, String what) {
    text.append(String.format("%-6s%s%n", kind, what));
    return this;
  }

  /** The violations, once all operators have their answers; called once, at the end. */
  List<Violation> violations() {
    waitFor(() -> fleet.operators().stream().allMatch(OperatorActor::isIdle));
    fleet.checker().checkHistory();
    return fleet.checker().violations();
  }

  /** Checks the history and compares the text with the approved one. */
  void approve() {
    line("And", "violations: " + violations());
    Approvals.verify(text.toString());
  }
}
