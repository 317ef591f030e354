package nettletrail.emulator.scenario;

import static nettletrail.emulator.scenario.Scenario.MILLISECOND;
import static nettletrail.emulator.scenario.Scenario.SECOND;
import static nettletrail.emulator.scenario.Scenario.machines;

import java.util.List;
import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.actors.OperatorActor;
import nettletrail.emulator.fleet.CoreMachine;
import org.junit.jupiter.api.Test;

/** The operator's configuration through changes of its owner, partitions and races. */
class ConfigurationScenariosTest {

  @Test
  void anOwnerFrozenPastItsLeaseResumesWithAWriteInFlight() {
    Scenario scenario = Scenario.givenFleet(1, 3, 2);
    CoreMachine owner = scenario.owner();
    OperatorActor racing = scenario.fleet().addOperator();
    racing.read();
    scenario.waitFor(racing::isIdle);
    ChangeDocument inFlight = scenario.fleet().changes().create(racing.newest(), 2);
    scenario.networkFaults().partition(List.of(owner.machine()), machines(scenario.followers()));
    racing.submitTo(owner.controlAddress(), inFlight);
    scenario.pass(5 * MILLISECOND);
    scenario.faults().freeze(owner.machine());
    scenario.when("the owner writes a change that reaches nobody, and is frozen");
    scenario.then("another change is acknowledged", scenario.changeIsAcknowledged());
    CoreMachine successor = scenario.owner();
    scenario.then("another process is the owner", successor != owner);
    scenario.networkFaults().healPartitions();
    scenario.faults().thaw(owner.machine());
    scenario.pass(3 * SECOND);
    scenario.when("the former owner is thawed and reaches the others");
    scenario.then("still the owner is the other", scenario.owner() == successor);
    racing.submit(inFlight, 10);
    scenario.waitFor(racing::isIdle);
    scenario.then(
        "changes rejected, the one in flight", scenario.fleet().checker().rejectedChanges());
    scenario.then(
        "the last change is read back", scenario.readBack() == scenario.operator().newest());
    scenario.approve();
  }

  @Test
  void theSameChangeIsSubmittedToBothSidesOfAPartition() {
    Scenario scenario = Scenario.givenFleet(2, 3, 2);
    CoreMachine owner = scenario.owner();
    List<CoreMachine> others = scenario.followers();
    scenario.networkFaults().partition(List.of(owner.machine()), machines(others));
    scenario.when("the owner is partitioned and one change is submitted to both sides");
    ChangeDocument change = scenario.fleet().changes().create(scenario.operator().newest(), 1);
    OperatorActor left = scenario.fleet().addOperator();
    OperatorActor right = scenario.fleet().addOperator();
    left.submitTo(owner.controlAddress(), change);
    right.submitTo(others.get(0).controlAddress(), change);
    scenario.waitFor(() -> left.isIdle() && right.isIdle());
    scenario.pass(3 * SECOND);
    right.submit(change, 10);
    scenario.waitFor(right::isIdle);
    scenario.then("the majority side acknowledges it", right.newest() == change);
    left.submitTo(owner.controlAddress(), change);
    scenario.waitFor(left::isIdle);
    scenario.then("the minority side acknowledges it", left.newest() == change);
    scenario.networkFaults().healPartitions();
    scenario.pass(3 * SECOND);
    scenario.when("the partition has healed and it is sent once more");
    left.submitTo(owner.controlAddress(), change);
    scenario.waitFor(left::isIdle);
    scenario.then("it is acknowledged again", left.newest() == change);
    scenario.then("it is read back", scenario.readBack() == change);
    scenario.approve();
  }

  @Test
  void twoOperatorsBuildOnOneVersionThroughAChangeOfOwner() {
    Scenario scenario = Scenario.givenFleet(3, 3, 2);
    OperatorActor one = scenario.fleet().addOperator();
    OperatorActor two = scenario.fleet().addOperator();
    one.read();
    two.read();
    scenario.waitFor(() -> one.isIdle() && two.isIdle());
    ChangeDocument first = one.submitChange(100);
    ChangeDocument second = two.submitChange(100);
    scenario.pass(3 * MILLISECOND);
    CoreMachine owner = scenario.owner();
    scenario.faults().kill(owner.machine());
    scenario.when("two changes on one version are on their way and the owner is killed");
    scenario.waitFor(() -> one.isIdle() && two.isIdle());
    ChangeDocument winner = scenario.readBack();
    scenario.then("one of them is read back", winner == first || winner == second);
    scenario.then(
        "both operators know the winner", one.newest() == winner && two.newest() == winner);
    scenario.then("changes rejected", scenario.fleet().checker().rejectedChanges());
    scenario.approve();
  }

  @Test
  void aReplacementJoinsWhileTheOldOwnerAnswersOneSide() {
    Scenario scenario = Scenario.givenFleet(4, 3, 2);
    CoreMachine owner = scenario.owner();
    CoreMachine near = scenario.followers().get(0);
    CoreMachine replaced = scenario.followers().get(1);
    CoreMachine successor = scenario.faults().replace(replaced);
    scenario.networkFaults().partition(List.of(owner.machine()), List.of(near.machine()));
    scenario.when("a machine is replaced while the owner reaches only the new one");
    scenario.pass(12 * SECOND);
    scenario.networkFaults().healPartitions();
    scenario.then("a change is acknowledged", scenario.changeIsAcknowledged());
    scenario.pass(5 * SECOND);
    scenario.when("the partition has healed");
    scenario.then("the new machine is a member", isMember(scenario, successor));
    scenario.then("the replaced one is not", !isMember(scenario, replaced));
    scenario.then(
        "the last change is read back", scenario.readBack() == scenario.operator().newest());
    scenario.approve();
  }

  @Test
  void aClockJumpsAheadAtTheOwner() {
    Scenario scenario = Scenario.givenFleet(5, 3, 2);
    CoreMachine owner = scenario.owner();
    scenario.faults().stepClock(owner.machine(), 2 * SECOND);
    scenario.pass(5 * SECOND);
    scenario.when("the owner's time of day jumps ahead by 2 s");
    scenario.then("it is still the owner", scenario.owner() == owner);
    scenario.then("a change is acknowledged", scenario.changeIsAcknowledged());
    scenario.approve();
  }

  private static boolean isMember(Scenario scenario, CoreMachine core) {
    return scenario.owner().process().knownMembers().stream()
        .anyMatch(member -> member.getAddress().equals(core.linkAddress()));
  }
}
