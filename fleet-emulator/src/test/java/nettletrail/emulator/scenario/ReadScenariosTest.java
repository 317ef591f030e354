package nettletrail.emulator.scenario;

import static nettletrail.emulator.scenario.Scenario.MILLISECOND;

import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.actors.OperatorActor;
import nettletrail.emulator.fleet.CoreMachine;
import org.junit.jupiter.api.Test;

/** Reads of the configuration compared with the one that doors use. */
class ReadScenariosTest {

  @Test
  void aReadWhileAWriteIsInFlightDoesNotGoBehindWhatADoorUses() {
    Scenario scenario = Scenario.givenFleet(6, 3, 2);
    CoreMachine owner = scenario.owner();
    for (CoreMachine follower : scenario.followers()) {
      long late = 800 * MILLISECOND;
      scenario
          .fleet()
          .simulation()
          .network()
          .setExtraDelay(follower.machine(), owner.machine(), late);
    }
    ChangeDocument change = scenario.fleet().changes().create(scenario.operator().newest(), 1);
    OperatorActor writer = scenario.fleet().addOperator();
    writer.submitTo(owner.controlAddress(), change);
    scenario.when("all replicas have stored a change and their answers to the owner are late");
    boolean used = scenario.waitFor(() -> scenario.uses(scenario.door(0), change));
    scenario.then("a door uses it", used);
    OperatorActor reader = scenario.fleet().addOperator();
    reader.readAt(owner.controlAddress());
    scenario.waitFor(reader::isIdle);
    scenario.then("a read at the owner gives it", reader.newest() == change);
    scenario.approve();
  }
}
