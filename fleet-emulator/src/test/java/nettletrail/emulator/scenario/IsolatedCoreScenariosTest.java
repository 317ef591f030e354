package nettletrail.emulator.scenario;

import static nettletrail.emulator.scenario.Scenario.MILLISECOND;
import static nettletrail.emulator.scenario.Scenario.SECOND;
import static nettletrail.emulator.scenario.Scenario.machines;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.actors.OperatorActor;
import nettletrail.emulator.fleet.CoreMachine;
import nettletrail.emulator.fleet.DoorMachine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A core machine that is partitioned for some time, and its answers meanwhile and afterwards. */
class IsolatedCoreScenariosTest {
  private static final int CORES = 3;
  private static final int DOORS = 2;
  private static final long[] PARTITION_SECONDS = {3, 20, 60};

  static Stream<Arguments> partitions() {
    List<Arguments> cases = new ArrayList<>();
    for (Victim victim : Victim.values()) {
      for (PartitionKind partition : PartitionKind.values()) {
        for (long seconds : PARTITION_SECONDS) {
          cases.add(Arguments.of(victim, partition, seconds));
        }
      }
    }
    return cases.stream();
  }

  @ParameterizedTest
  @MethodSource("partitions")
  void givenAPartitionedCoreWhenOperatorsCallItThenNothingStaleIsReadAndNothingRejectedOrLost(
      Victim victim, PartitionKind partition, long seconds) {
    Scenario scenario = Scenario.givenFleet(100 + seconds, CORES, DOORS);
    partitionOnce(scenario, victim.of(scenario), partition, seconds * SECOND);
    assertComplete(scenario);
  }

  @ParameterizedTest
  @MethodSource("partitions")
  void givenAHealedPartitionWhenAnotherCoreIsPartitionedAtOnceThenTheSameHolds(
      Victim victim, PartitionKind partition, long seconds) {
    Scenario scenario = Scenario.givenFleet(200 + seconds, CORES, DOORS);
    CoreMachine first = victim.of(scenario);
    partitionOnce(scenario, first, partition, seconds * SECOND);
    partitionOnce(scenario, scenario.othersThan(first).get(0), partition, seconds * SECOND);
    assertComplete(scenario);
  }

  /**
   * One partition with changes submitted to the partitioned machine: one in flight as it begins,
   * some while it lasts, one in flight as it ends; changes to all others meanwhile.
   */
  private static void partitionOnce(
      Scenario scenario, CoreMachine victim, PartitionKind partition, long span) {
    OperatorActor atVictim = scenario.fleet().addOperator();
    atVictim.read();
    scenario.waitFor(atVictim::isIdle);
    submitAt(scenario, victim, atVictim);
    scenario.pass(2 * MILLISECOND);
    partition.begin(scenario, victim);
    long end = scenario.fleet().time().now() + span;
    while (scenario.fleet().time().now() < end - SECOND) {
      callDuringPartition(scenario, victim, atVictim, end - SECOND);
    }
    scenario.pass(Math.max(0, end - 5 * MILLISECOND - scenario.fleet().time().now()));
    if (atVictim.isIdle()) {
      submitAt(scenario, victim, atVictim);
    }
    scenario.pass(5 * MILLISECOND);
    partition.end(scenario, victim);
    scenario.pass(3 * SECOND);
  }

  private static void callDuringPartition(
      Scenario scenario, CoreMachine victim, OperatorActor atVictim, long latest) {
    if (scenario.operator().isIdle()) {
      scenario.operator().submitChange(3);
    }
    if (atVictim.isIdle()) {
      submitAt(scenario, victim, atVictim);
    }
    OperatorActor reader = scenario.fleet().addOperator();
    reader.readAt(victim.controlAddress());
    long left = latest - scenario.fleet().time().now();
    scenario.pass(Math.max(MILLISECOND, Math.min(left, 1_500 * MILLISECOND)));
  }

  /** Submits a change based on the newest version that the operator knows, which may be stale. */
  private static void submitAt(Scenario scenario, CoreMachine victim, OperatorActor operator) {
    ChangeDocument document = scenario.fleet().changes().create(operator.newest(), 1);
    operator.submitTo(victim.controlAddress(), document);
  }

  private static void assertComplete(Scenario scenario) {
    scenario.waitFor(() -> scenario.fleet().operators().stream().allMatch(OperatorActor::isIdle));
    scenario.operator().read();
    scenario.waitFor(scenario.operator()::isIdle);
    assertTrue(scenario.changeIsAcknowledged());
    assertSame(scenario.operator().newest(), scenario.readBack());
    assertEquals(List.of(), scenario.violations());
  }

  @ParameterizedTest
  @ValueSource(longs = {3, 20, 60})
  void givenADoorThatReachesOnlyThePartitionedCoreWhenItStartsThenItUsesNothingStale(long seconds) {
    Scenario scenario = Scenario.givenFleet(300 + seconds, CORES, DOORS);
    CoreMachine isolated = scenario.fleet().cores().get(0);
    ChangeDocument stale = scenario.operator().newest();
    DoorMachine door = scenario.door(0);
    scenario
        .networkFaults()
        .partition(List.of(isolated.machine()), machines(scenario.othersThan(isolated)));
    scenario
        .networkFaults()
        .partition(List.of(door.machine()), machines(scenario.othersThan(isolated)));
    assertTrue(scenario.changeIsAcknowledged());
    scenario.pass(3 * SECOND);
    scenario.faults().kill(door.machine());
    scenario.faults().start(door);
    scenario.pass(seconds * SECOND);
    assertNull(door.process().table(), "active configuration at a door partitioned with a core");
    scenario.networkFaults().healPartitions();
    assertTrue(scenario.waitFor(() -> door.process().table() != null));
    assertTrue(scenario.uses(door, scenario.operator().newest()));
    assertNotSame(stale, scenario.operator().newest());
    assertEquals(List.of(), scenario.violations());
  }

  @Test
  void givenAPartitionedCoreWhenADoorThatReachesAllStartsThenItNeverUsesTheStaleConfiguration() {
    Scenario scenario = Scenario.givenFleet(400, CORES, DOORS);
    CoreMachine isolated = scenario.fleet().cores().get(0);
    ChangeDocument stale = scenario.operator().newest();
    DoorMachine door = scenario.door(0);
    scenario
        .networkFaults()
        .partition(List.of(isolated.machine()), machines(scenario.othersThan(isolated)));
    assertTrue(scenario.changeIsAcknowledged());
    scenario.pass(3 * SECOND);
    slowOthers(scenario, isolated, door, 200 * MILLISECOND);
    scenario.faults().kill(door.machine());
    scenario.faults().start(door);
    boolean usedStale = false;
    for (int step = 0; step < 2_000; step++) {
      scenario.pass(MILLISECOND);
      usedStale |= scenario.uses(door, stale);
    }
    assertTrue(!usedStale, "the push of the partitioned core came first");
    assertTrue(scenario.uses(door, scenario.operator().newest()));
    assertEquals(List.of(), scenario.violations());
  }

  @Test
  void givenAPartitionWhenBothSidesRestartTheMinorityFirstThenTheNewestIsReadAndUsed() {
    Scenario scenario = Scenario.givenFleet(500, CORES, DOORS);
    CoreMachine isolated = scenario.owner();
    DoorMachine door = scenario.door(0);
    scenario
        .networkFaults()
        .partition(List.of(isolated.machine()), machines(scenario.othersThan(isolated)));
    scenario
        .networkFaults()
        .partition(List.of(door.machine()), machines(scenario.othersThan(isolated)));
    assertTrue(scenario.changeIsAcknowledged());
    scenario.pass(20 * SECOND);
    scenario.faults().kill(door.machine());
    scenario.faults().start(door);
    scenario.faults().restart(isolated, 100 * MILLISECOND);
    scenario.pass(SECOND);
    scenario
        .othersThan(isolated)
        .forEach(core -> scenario.faults().restart(core, 300 * MILLISECOND));
    scenario.pass(200 * MILLISECOND);
    scenario.networkFaults().healPartitions();
    ChangeDocument newest = scenario.operator().newest();
    assertSame(newest, scenario.readBack());
    assertTrue(scenario.waitFor(() -> scenario.uses(door, newest)));
    assertComplete(scenario);
  }

  /** Adds latency between the door and the other core machines. */
  private static void slowOthers(
      Scenario scenario, CoreMachine isolated, DoorMachine door, long extra) {
    for (CoreMachine other : scenario.othersThan(isolated)) {
      scenario.fleet().simulation().network().setExtraDelay(other.machine(), door.machine(), extra);
      scenario.fleet().simulation().network().setExtraDelay(door.machine(), other.machine(), extra);
    }
  }
}
