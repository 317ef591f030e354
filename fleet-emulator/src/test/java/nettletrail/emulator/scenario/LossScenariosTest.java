package nettletrail.emulator.scenario;

import static nettletrail.emulator.scenario.Scenario.MILLISECOND;
import static nettletrail.emulator.scenario.Scenario.SECOND;

import java.util.List;
import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.fleet.CoreMachine;
import nettletrail.emulator.simulation.VirtualTime;
import org.junit.jupiter.api.Test;

/** Losses of core processes, machines and disks. */
class LossScenariosTest {
  private static final long CATCH_UP = 4 * SECOND;
  private static final long LATE_START = 900 * MILLISECOND;

  @Test
  void allAreKilledWithin400MillisecondsOfAChange() {
    Scenario scenario = Scenario.givenFleet(11, 3, 2);
    ChangeDocument change = scenario.operator().submitChange(1_000);
    scenario.when(
        "a change is sent, all core processes are killed within 400 ms and are back in 1 s");
    VirtualTime time = scenario.fleet().time();
    long delay = 0;
    for (CoreMachine core : scenario.fleet().cores()) {
      delay += 130 * MILLISECOND;
      time.after(delay, () -> scenario.faults().restart(core, LATE_START));
    }
    scenario.waitFor(() -> scenario.operator().isIdle());
    scenario.then("the change is acknowledged", scenario.operator().newest() == change);
    scenario.pass(3 * SECOND);
    scenario.then("it is read back", scenario.readBack() == change);
    scenario.approve();
  }

  @Test
  void allLosePowerRightAfterAnAcknowledgement() {
    Scenario scenario = Scenario.givenFleet(12, 3, 2);
    scenario.then("a change is acknowledged", scenario.changeIsAcknowledged());
    ChangeDocument change = scenario.operator().newest();
    scenario.coreMachines().forEach(scenario.faults()::losePower);
    scenario.pass(LATE_START);
    scenario.fleet().cores().forEach(scenario.faults()::start);
    scenario.when("all core machines lose power at that moment and are back in 1 s");
    scenario.then("the change is read back", scenario.readBack() == change);
    scenario.then("the next one is acknowledged", scenario.changeIsAcknowledged());
    scenario.approve();
  }

  @Test
  void theOwnersDiskIsWipedWhileTheOthersLosePower() {
    Scenario scenario = Scenario.givenFleet(13, 3, 2);
    CoreMachine owner = scenario.owner();
    List<CoreMachine> others = scenario.followers();
    scenario.then("a change is acknowledged", scenario.changeIsAcknowledged());
    ChangeDocument change = scenario.operator().newest();
    scenario.faults().wipe(owner);
    others.forEach(core -> scenario.faults().losePower(core.machine()));
    scenario.pass(LATE_START);
    scenario.fleet().cores().forEach(scenario.faults()::start);
    scenario.when("the owner loses its disk and the others lose power at that moment");
    scenario.then("the change is read back", scenario.readBack() == change);
    scenario.then("the next one is acknowledged", scenario.changeIsAcknowledged());
    scenario.approve();
  }

  @Test
  void aDiskIsLostAndLaterTheNextOneAndTheThird() {
    Scenario scenario = Scenario.givenFleet(14, 3, 2);
    for (CoreMachine core : List.copyOf(scenario.fleet().cores())) {
      scenario.faults().wipe(core);
      scenario.pass(200 * MILLISECOND);
      scenario.faults().start(core);
      scenario.pass(CATCH_UP);
      scenario.when("a disk is lost, and the machine has had its time to catch up");
      scenario.then("a change is acknowledged", scenario.changeIsAcknowledged());
    }
    scenario.then("the last is read back", scenario.readBack() == scenario.operator().newest());
    scenario.approve();
  }

  @Test
  void aMachineIsReplacedAndLaterAnotherLosesItsDisk() {
    Scenario scenario = Scenario.givenFleet(15, 3, 2);
    CoreMachine replaced = scenario.followers().get(0);
    CoreMachine wiped = scenario.followers().get(1);
    scenario.faults().replace(replaced);
    scenario.pass(CATCH_UP + 100 * MILLISECOND);
    scenario.when("a machine is replaced, and the new one has had its time to catch up");
    scenario.faults().wipe(wiped);
    scenario.pass(200 * MILLISECOND);
    scenario.faults().start(wiped);
    scenario.when("another loses its disk");
    scenario.then("a change is acknowledged", scenario.changeIsAcknowledged());
    scenario.then("it is read back", scenario.readBack() == scenario.operator().newest());
    scenario.approve();
  }

  @Test
  void theOwnerIsReplacedAndLaterAnotherLosesItsDisk() {
    Scenario scenario = Scenario.givenFleet(16, 3, 2);
    CoreMachine wiped = scenario.followers().get(1);
    scenario.faults().replace(scenario.owner());
    scenario.pass(CATCH_UP + 100 * MILLISECOND);
    scenario.when("the owner is replaced, and the new machine has had its time to catch up");
    scenario.faults().wipe(wiped);
    scenario.pass(200 * MILLISECOND);
    scenario.faults().start(wiped);
    scenario.when("another loses its disk");
    scenario.then("a change is acknowledged", scenario.changeIsAcknowledged());
    scenario.then("it is read back", scenario.readBack() == scenario.operator().newest());
    scenario.approve();
  }

  @Test
  void allMachinesAreReplacedOneByOneAndTheSeedsFollow() {
    Scenario scenario = Scenario.givenFleet(17, 3, 2);
    for (CoreMachine core : List.copyOf(scenario.fleet().cores())) {
      scenario.faults().replace(core);
      scenario.faults().updateSeeds();
      scenario.pass(2 * CATCH_UP);
      scenario.when("a machine is replaced at another address and all hear of other seeds");
      scenario.then("a change is acknowledged", scenario.changeIsAcknowledged());
    }
    scenario.faults().kill(scenario.door(0).machine());
    scenario.faults().start(scenario.door(0));
    scenario.pass(3 * SECOND);
    scenario.when("a door starts that knows none of the first machines");
    scenario.then(
        "it uses the last", scenario.uses(scenario.door(0), scenario.operator().newest()));
    scenario.approve();
  }

  @Test
  void aDiskFillsUpDuringTheWriteOfATemporaryFile() {
    Scenario scenario = Scenario.givenFleet(18, 3, 2);
    CoreMachine follower = scenario.followers().get(0);
    scenario.diskFaults().fillDisk(follower, 100);
    scenario.when("a replica's disk takes only 100 bytes more");
    scenario.then("a change is acknowledged", scenario.changeIsAcknowledged());
    scenario.faults().kill(follower.machine());
    scenario.faults().start(follower);
    scenario.pass(3 * SECOND);
    scenario.diskFaults().freeDisk(follower);
    scenario.pass(3 * SECOND);
    scenario.when("the process starts again and the disk has free space");
    CoreMachine other =
        scenario.followers().stream().filter(core -> core != follower).findFirst().get();
    scenario.faults().losePower(other.machine());
    scenario.then("a change is acknowledged without the third", scenario.changeIsAcknowledged());
    scenario.approve();
  }

  @Test
  void theOwnersDiskHangs() {
    Scenario scenario = Scenario.givenFleet(19, 3, 2);
    scenario.diskFaults().hangDisk(scenario.owner(), 6 * SECOND);
    scenario.when("the owner's disk hangs for 6 s");
    scenario.then("a change is acknowledged", scenario.changeIsAcknowledged());
    scenario.approve();
  }

  @Test
  void theOwnerDiesAndIsBackAtOnce() {
    Scenario scenario = Scenario.givenFleet(20, 3, 2);
    scenario.faults().restart(scenario.owner(), 100 * MILLISECOND);
    scenario.when("the owner is killed and back in 100 ms");
    scenario.then("a change is acknowledged", scenario.changeIsAcknowledged());
    scenario.then("it is read back", scenario.readBack() == scenario.operator().newest());
    scenario.approve();
  }

  @Test
  void fiveWithstandTheLossOfTwoDisks() {
    Scenario scenario = Scenario.givenFleet(21, 5, 2);
    scenario.then("a change is acknowledged", scenario.changeIsAcknowledged());
    ChangeDocument change = scenario.operator().newest();
    List<CoreMachine> cores = List.copyOf(scenario.fleet().cores());
    cores.subList(0, 2).forEach(scenario.faults()::wipe);
    cores.subList(2, 5).forEach(core -> scenario.faults().losePower(core.machine()));
    scenario.pass(LATE_START);
    cores.forEach(scenario.faults()::start);
    scenario.when("two of five machines lose their disks and the others lose power");
    scenario.then("the change is read back", scenario.readBack() == change);
    scenario.then("the next one is acknowledged", scenario.changeIsAcknowledged());
    scenario.approve();
  }

  @Test
  void theOwnerIsShutDownGracefully() {
    Scenario scenario = Scenario.givenFleet(23, 3, 2);
    CoreMachine owner = scenario.owner();
    scenario.faults().shutDown(owner);
    scenario.pass(200 * MILLISECOND);
    scenario.when("the owner is shut down gracefully");
    long before = scenario.fleet().time().now();
    scenario.then("a change is acknowledged", scenario.changeIsAcknowledged());
    boolean quick = scenario.fleet().time().now() - before < SECOND;
    scenario.then("that took less than 1 s, less than a lease", quick);
    scenario.approve();
  }

  @Test
  void aReplicaWithAFullDiskDoesNotCount() {
    Scenario scenario = Scenario.givenFleet(24, 3, 2);
    CoreMachine full = scenario.followers().get(0);
    CoreMachine down = scenario.followers().get(1);
    scenario.diskFaults().fillDisk(full, 100);
    scenario.faults().losePower(down.machine());
    ChangeDocument change = scenario.operator().submitChange(1_000);
    scenario.pass(3 * SECOND);
    scenario.when("one replica's disk is full, another has no power, and a change is sent");
    scenario.then("it is acknowledged", scenario.operator().newest() == change);
    scenario.diskFaults().freeDisk(full);
    scenario.waitFor(scenario.operator()::isIdle);
    scenario.when("the disk has free space");
    scenario.then("it is acknowledged", scenario.operator().newest() == change);
    scenario.approve();
  }

  @Test
  void aNewMachineAndAnotherLoseTheirDisksSoonAfterAReplacement() {
    Scenario scenario = Scenario.givenFleet(22, 5, 2);
    CoreMachine replaced = scenario.followers().get(0);
    CoreMachine wiped = scenario.followers().get(1);
    CoreMachine successor = scenario.faults().replace(replaced);
    scenario.pass(1_400 * MILLISECOND);
    for (CoreMachine lost : List.of(successor, wiped)) {
      scenario.faults().wipe(lost);
      scenario.pass(100 * MILLISECOND);
      scenario.faults().start(lost);
    }
    scenario.when(
        "one of five is replaced, and the new one and another lose their disks 1.4 s later");
    scenario.then("a change is acknowledged", scenario.changeIsAcknowledged());
    scenario.then("it is read back", scenario.readBack() == scenario.operator().newest());
    scenario.approve();
  }
}
