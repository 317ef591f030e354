package nettletrail.emulator.story;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import nettletrail.emulator.actors.BackendActor;
import nettletrail.emulator.actors.Operator;
import nettletrail.emulator.actors.OrderDocument;
import nettletrail.emulator.checker.Violation;
import nettletrail.emulator.fleet.CoreNode;
import nettletrail.emulator.fleet.DoorNode;
import nettletrail.emulator.fleet.FaultInjector;
import nettletrail.emulator.fleet.Fleet;
import nettletrail.emulator.fleet.FleetOptions;
import nettletrail.emulator.simulation.Machine;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.BackendState;
import org.approvaltests.Approvals;

/**
 * One given-when-then over an emulated fleet: a fleet with a first configuration, what befalls it,
 * and what was seen, as a text that is compared with an approved one. The judges watch all the
 * while; what they find is the text's last line.
 */
final class Story {
  static final long SECOND = VirtualTime.SECOND;
  static final long MILLISECOND = VirtualTime.MILLISECOND;
  private static final int PERSISTENT = 1_000;
  private static final long LONGEST_WAIT = 30 * SECOND;
  private static final long STEP = 10 * MILLISECOND;

  private final Fleet fleet;
  private final Operator operator;
  private final StringBuilder text = new StringBuilder();

  private Story(Fleet fleet) {
    this.fleet = fleet;
    this.operator = fleet.addOperator();
  }

  /** A fleet that has taken its first configuration and been calm for some seconds. */
  static Story givenFleet(long seed, int cores, int doors) {
    Fleet fleet = new Fleet(seed, FleetOptions.small().withMachines(cores, doors));
    fleet.startAll();
    Story story = new Story(fleet);
    story.operator.order(PERSISTENT);
    story.pass(5 * SECOND);
    story.line("Given", cores + " core machines, " + doors + " doors, a configuration");
    return story;
  }

  Fleet fleet() {
    return fleet;
  }

  FaultInjector faults() {
    return fleet.faults();
  }

  /** The first operator. */
  Operator operator() {
    return operator;
  }

  // Machines

  CoreNode owner() {
    waitFor(() -> fleet.configurationOwner() != null);
    return fleet.configurationOwner();
  }

  /** The core machines that don't own the configuration. */
  List<CoreNode> followers() {
    List<CoreNode> followers = new ArrayList<>(fleet.cores());
    followers.remove(owner());
    return followers;
  }

  DoorNode door(int index) {
    return fleet.doors().get(index);
  }

  List<Machine> coreMachines() {
    return fleet.cores().stream().map(CoreNode::machine).toList();
  }

  static List<Machine> machines(List<CoreNode> cores) {
    return cores.stream().map(CoreNode::machine).toList();
  }

  // Time

  /** Lets time pass, in nanoseconds. */
  Story pass(long span) {
    fleet.time().runFor(span);
    return this;
  }

  /** Lets time pass until something holds; at most some time. */
  boolean waitFor(BooleanSupplier condition) {
    long deadline = fleet.time().now() + LONGEST_WAIT;
    while (!condition.getAsBoolean() && fleet.time().now() < deadline) {
      fleet.time().runFor(STEP);
    }
    return condition.getAsBoolean();
  }

  // What operators see

  /**
   * The first operator sends an order until it is answered; true if that was an acknowledgement.
   */
  boolean orderIsAcknowledged() {
    int before = fleet.checker().acknowledgedOrders();
    operator.order(PERSISTENT);
    waitFor(operator::isIdle);
    return operator.isIdle() && fleet.checker().acknowledgedOrders() > before;
  }

  /** A new operator reads until he gets an answer. */
  OrderDocument readBack() {
    Operator reader = fleet.addOperator();
    reader.read();
    waitFor(reader::isIdle);
    return reader.newest();
  }

  // What doors see

  boolean lists(DoorNode door, BackendActor backend, BackendState state) {
    return door.process().backends(OrderDocument.SERVICE).stream()
        .anyMatch(entry -> entry.getId().equals(backend.id()) && entry.getState() == state);
  }

  boolean uses(DoorNode door, OrderDocument document) {
    return door.process().table() != null
        && OrderDocument.orderIdOf(door.process().table()) == document.order().id();
  }

  // The text

  Story when(String what) {
    return line("When", what);
  }

  Story then(String what, Object seen) {
    return line("Then", what + ": " + seen);
  }

  private Story line(String kind, String what) {
    text.append(String.format("%-6s%s%n", kind, what));
    return this;
  }

  /** What the judges found, once all operators have their answers; to be asked once, at the end. */
  List<Violation> brokenPromises() {
    waitFor(() -> fleet.operators().stream().allMatch(Operator::isIdle));
    fleet.checker().checkHistory();
    return fleet.checker().violations();
  }

  /** Checks the history and compares the text with the approved one. */
  void approve() {
    line("And", "promises broken: " + brokenPromises());
    Approvals.verify(text.toString());
  }
}
