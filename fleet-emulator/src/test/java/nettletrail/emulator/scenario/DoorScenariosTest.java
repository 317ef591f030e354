package nettletrail.emulator.scenario;

import static nettletrail.emulator.scenario.Scenario.MILLISECOND;
import static nettletrail.emulator.scenario.Scenario.SECOND;

import java.util.List;
import nettletrail.emulator.actors.BackendActor;
import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.fleet.CoreMachine;
import nettletrail.emulator.fleet.DoorMachine;
import nettletrail.emulator.fleet.EmulatedFleet;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.protocol.BackendState;
import org.junit.jupiter.api.Test;

/** What doors know and may do, stable and partitioned. */
class DoorScenariosTest {

  @Test
  void aPartitionedDoorStopsAcceptingKeys() {
    Scenario scenario = Scenario.givenFleet(31, 3, 2);
    DoorMachine door = scenario.door(0);
    scenario.networkFaults().partition(List.of(door.machine()), scenario.coreMachines());
    scenario.when("a door is partitioned");
    scenario.pass(SECOND);
    scenario.then("it takes keys after 1 s", door.process().keysValid());
    scenario.pass(4 * SECOND);
    scenario.then("it takes keys after 5 s", door.process().keysValid());
    scenario.then("a change is acknowledged meanwhile", scenario.changeIsAcknowledged());
    scenario.networkFaults().healPartitions();
    scenario.pass(3 * SECOND);
    scenario.when("the partition has healed");
    scenario.then("it takes keys", door.process().keysValid());
    scenario.then("it uses the last change", scenario.uses(door, scenario.operator().newest()));
    scenario.approve();
  }

  @Test
  void doorsKeepServingWhileTheCoreIsDown() {
    Scenario scenario = Scenario.givenFleet(32, 3, 2);
    BackendActor backend = scenario.fleet().addBackend();
    scenario.pass(3 * SECOND);
    scenario.coreMachines().forEach(scenario.faults()::losePower);
    scenario.pass(30 * SECOND);
    scenario.when("the whole core has been without power for 30 s");
    scenario.then(
        "a door lists the backend", scenario.lists(scenario.door(0), backend, BackendState.READY));
    scenario.then("it has a configuration", scenario.door(0).process().table() != null);
    scenario.approve();
  }

  @Test
  void aClosingBackendIsKnownThroughAPeerWhenItsCoreIsPartitionedFromADoor() {
    Scenario scenario = Scenario.givenFleet(33, 3, 2);
    BackendActor backend = scenario.fleet().addBackend();
    scenario.pass(3 * SECOND);
    CoreMachine partitionedCore = scenario.fleet().cores().get(0);
    scenario
        .networkFaults()
        .partition(List.of(partitionedCore.machine()), List.of(scenario.door(0).machine()));
    backend.close();
    scenario.when("a core machine and a door don't reach each other and a backend closes");
    boolean acknowledged = scenario.waitFor(backend::isEndAcknowledged);
    scenario.then("that is acknowledged", acknowledged);
    scenario.pass(SECOND);
    scenario.then("both doors know 1 s later", allDoorsKnowClosing(scenario, backend));
    scenario.approve();
  }

  @Test
  void aHintIsHandedOffTwice() {
    Scenario scenario = Scenario.givenFleet(34, 3, 2);
    BackendActor backend = scenario.fleet().addBackend();
    scenario.pass(3 * SECOND);
    CoreMachine alone = scenario.fleet().cores().get(2);
    List<SimulatedMachine> others =
        List.of(
            scenario.fleet().cores().get(0).machine(), scenario.fleet().cores().get(1).machine());
    scenario.networkFaults().partition(List.of(alone.machine()), others);
    backend.close();
    scenario.waitFor(backend::isEndAcknowledged);
    scenario.waitFor(() -> backend.stage() == BackendActor.Stage.ENDED);
    BackendActor next = scenario.fleet().addBackend();
    scenario.pass(3 * SECOND);
    scenario.when("a backend ends and another begins while a core machine is partitioned");
    scenario.networkFaults().healPartitions();
    scenario.pass(50 * MILLISECOND);
    scenario.networkFaults().resetConnections(alone.machine());
    scenario.pass(3 * SECOND);
    scenario.when("the partition has healed, and connections broke in the middle of the handoff");
    for (CoreMachine core : scenario.fleet().cores()) {
      scenario.faults().kill(core.machine());
      scenario.faults().start(core);
      scenario.pass(2 * SECOND);
    }
    scenario.when("the core processes have started anew one after another");
    scenario.then("the ended one is listed", isListed(scenario, backend));
    scenario.then(
        "the other is listed", scenario.lists(scenario.door(0), next, BackendState.READY));
    scenario.approve();
  }

  @Test
  void aDoorReadsASnapshotAtOneOffsetAndTailsFromAnother() {
    Scenario scenario = Scenario.givenFleet(35, 3, 2);
    EmulatedFleet fleet = scenario.fleet();
    DoorMachine door = scenario.door(0);
    List<BackendActor> backends = new java.util.ArrayList<>();
    for (int round = 0; round < 8; round++) {
      backends.add(fleet.addBackend());
      fleet
          .time()
          .after(40 * MILLISECOND, () -> scenario.networkFaults().resetConnections(door.machine()));
      scenario.pass(80 * MILLISECOND);
      if (round % 2 == 1) {
        backends.get(round - 1).close();
      }
    }
    scenario.when("backends come and leave while a door's connections break again and again");
    scenario.pass(8 * SECOND);
    scenario.then(
        "the door lists all that stay",
        backends.stream()
            .filter(backend -> backend.stage() == BackendActor.Stage.SERVING)
            .allMatch(backend -> scenario.lists(door, backend, BackendState.READY)));
    scenario.then(
        "it lists one that has ended",
        backends.stream()
            .filter(backend -> backend.stage() == BackendActor.Stage.ENDED)
            .anyMatch(backend -> isListed(scenario, backend)));
    scenario.approve();
  }

  @Test
  void anAddressIsUsedAgainByAnotherService() {
    Scenario scenario = Scenario.givenFleet(36, 3, 2);
    SimulatedMachine machine = scenario.fleet().newMachine("reused", false);
    BackendActor former = scenario.fleet().addBackend(machine, ChangeDocument.SERVICE);
    scenario.pass(3 * SECOND);
    former.crash();
    scenario.pass(2 * SECOND);
    BackendActor latter = scenario.fleet().addBackend(machine, "other");
    scenario.when("a backend crashes and one of another service begins at its address 2 s later");
    scenario.pass(10 * SECOND);
    scenario.then("the former is listed 10 s later", isListed(scenario, former));
    scenario.then(
        "the latter is listed with its service",
        scenario.door(0).process().backends("other").stream()
            .anyMatch(entry -> entry.getId().equals(latter.id())));
    scenario.approve();
  }

  @Test
  void aBackendWithoutHeartbeatsExpires() {
    Scenario scenario = Scenario.givenFleet(37, 3, 2);
    BackendActor stays = scenario.fleet().addBackend();
    BackendActor crashed = scenario.fleet().addBackend();
    scenario.pass(3 * SECOND);
    crashed.crash();
    scenario.coreMachines().forEach(scenario.faults()::kill);
    scenario.pass(SECOND);
    scenario.fleet().cores().forEach(scenario.faults()::start);
    scenario.pass(30 * SECOND);
    scenario.when("a backend crashes, all core processes start anew, and 30 s pass");
    scenario.then("a door lists the one that crashed", isListed(scenario, crashed));
    scenario.then(
        "it lists the other", scenario.lists(scenario.door(0), stays, BackendState.READY));
    scenario.approve();
  }

  @Test
  void quotasHoldWhileOwnersChangeAndDoorsArePartitioned() {
    Scenario scenario = Scenario.givenFleet(38, 3, 4);
    for (int round = 0; round < 4; round++) {
      scenario.faults().restart(scenario.owner(), 500 * MILLISECOND);
      scenario.pass(2 * SECOND);
      scenario
          .networkFaults()
          .partition(List.of(scenario.door(round).machine()), scenario.coreMachines());
      scenario.pass(3 * SECOND);
      scenario.networkFaults().healPartitions();
      scenario.pass(3 * SECOND);
    }
    scenario.when(
        "the owner is killed four times and each door is partitioned once, under twice the load");
    long max = scenario.fleet().checker().maxTokensInWindow();
    scenario.then(
        "some window holds over half of the limit", max > 4 * ChangeDocument.RATE_PER_SECOND);
    scenario.approve();
  }

  @Test
  void aTenantGetsItsRateWithoutFaults() {
    Scenario scenario = Scenario.givenFleet(39, 3, 4);
    scenario.pass(10 * SECOND);
    long before = tokensAdmitted(scenario);
    scenario.pass(20 * SECOND);
    long used = tokensAdmitted(scenario) - before;
    scenario.when("doors get twice the limit of load for 20 s of calm");
    scenario.then(
        "over nine tenths of the rate are used", used > 18 * ChangeDocument.RATE_PER_SECOND);
    scenario.approve();
  }

  private static long tokensAdmitted(Scenario scenario) {
    return scenario.fleet().doors().stream()
        .mapToLong(door -> door.traffic().tokensAdmitted())
        .sum();
  }

  private static boolean allDoorsKnowClosing(Scenario scenario, BackendActor backend) {
    return scenario.fleet().doors().stream()
        .noneMatch(door -> scenario.lists(door, backend, BackendState.READY));
  }

  private static boolean isListed(Scenario scenario, BackendActor backend) {
    return scenario.lists(scenario.door(0), backend, BackendState.READY);
  }
}
