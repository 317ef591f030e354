package nettletrail.emulator.story;

import static nettletrail.emulator.story.Story.MILLISECOND;
import static nettletrail.emulator.story.Story.SECOND;

import java.util.List;
import nettletrail.emulator.actors.BackendActor;
import nettletrail.emulator.actors.OrderDocument;
import nettletrail.emulator.fleet.CoreNode;
import nettletrail.emulator.fleet.DoorNode;
import nettletrail.emulator.fleet.Fleet;
import nettletrail.emulator.simulation.Machine;
import nettletrail.protocol.BackendState;
import org.junit.jupiter.api.Test;

/** What doors know and may do, in touch and cut off. */
class DoorStoriesTest {

  @Test
  void aDoorThatIsCutOffStopsTakingKeys() {
    Story story = Story.givenFleet(31, 3, 2);
    DoorNode door = story.door(0);
    story.faults().cut(List.of(door.machine()), story.coreMachines());
    story.when("a door is cut off");
    story.pass(SECOND);
    story.then("it takes keys after 1 s", door.process().keysValid());
    story.pass(4 * SECOND);
    story.then("it takes keys after 5 s", door.process().keysValid());
    story.then("an order is acknowledged meanwhile", story.orderIsAcknowledged());
    story.faults().healCuts();
    story.pass(3 * SECOND);
    story.when("the cut has healed");
    story.then("it takes keys", door.process().keysValid());
    story.then("it uses the last order", story.uses(door, story.operator().newest()));
    story.approve();
  }

  @Test
  void doorsKeepServingWhileTheCoreIsGone() {
    Story story = Story.givenFleet(32, 3, 2);
    BackendActor backend = story.fleet().addBackend();
    story.pass(3 * SECOND);
    story.coreMachines().forEach(story.faults()::losePower);
    story.pass(30 * SECOND);
    story.when("the whole core has been without power for 30 s");
    story.then("a door lists the backend", story.lists(story.door(0), backend, BackendState.READY));
    story.then("it has a configuration", story.door(0).process().table() != null);
    story.approve();
  }

  @Test
  void aBackendThatClosesIsHeardOfOverAPeerWhenItsCoreIsCutFromADoor() {
    Story story = Story.givenFleet(33, 3, 2);
    BackendActor backend = story.fleet().addBackend();
    story.pass(3 * SECOND);
    CoreNode cutCore = story.fleet().cores().get(0);
    story.faults().cut(List.of(cutCore.machine()), List.of(story.door(0).machine()));
    backend.close();
    story.when("a core machine and a door don't reach each other and a backend closes");
    boolean acknowledged = story.waitFor(backend::isEndAcknowledged);
    story.then("that is acknowledged", acknowledged);
    story.pass(SECOND);
    story.then("both doors know 1 s later", storyDoorsKnowClosing(story, backend));
    story.approve();
  }

  @Test
  void aHintIsHandedOffTwice() {
    Story story = Story.givenFleet(34, 3, 2);
    BackendActor backend = story.fleet().addBackend();
    story.pass(3 * SECOND);
    CoreNode alone = story.fleet().cores().get(2);
    List<Machine> others =
        List.of(story.fleet().cores().get(0).machine(), story.fleet().cores().get(1).machine());
    story.faults().cut(List.of(alone.machine()), others);
    backend.close();
    story.waitFor(backend::isEndAcknowledged);
    story.waitFor(() -> backend.stage() == BackendActor.Stage.ENDED);
    BackendActor next = story.fleet().addBackend();
    story.pass(3 * SECOND);
    story.when("a backend ends and another begins while a core machine is cut off");
    story.faults().healCuts();
    story.pass(50 * MILLISECOND);
    story.faults().resetConnections(alone.machine());
    story.pass(3 * SECOND);
    story.when("the cut has healed, and connections broke in the middle of the handoff");
    for (CoreNode core : story.fleet().cores()) {
      story.faults().kill(core.machine());
      story.faults().start(core);
      story.pass(2 * SECOND);
    }
    story.when("the core processes have started anew one after another");
    story.then("the ended one is listed", isListed(story, backend));
    story.then("the other is listed", story.lists(story.door(0), next, BackendState.READY));
    story.approve();
  }

  @Test
  void aDoorReadsASnapshotAtOneOffsetAndTailsFromAnother() {
    Story story = Story.givenFleet(35, 3, 2);
    Fleet fleet = story.fleet();
    DoorNode door = story.door(0);
    List<BackendActor> backends = new java.util.ArrayList<>();
    for (int round = 0; round < 8; round++) {
      backends.add(fleet.addBackend());
      fleet.time().after(40 * MILLISECOND, () -> story.faults().resetConnections(door.machine()));
      story.pass(80 * MILLISECOND);
      if (round % 2 == 1) {
        backends.get(round - 1).close();
      }
    }
    story.when("backends come and leave while a door's connections break again and again");
    story.pass(8 * SECOND);
    story.then(
        "the door lists all that stay",
        backends.stream()
            .filter(backend -> backend.stage() == BackendActor.Stage.SERVING)
            .allMatch(backend -> story.lists(door, backend, BackendState.READY)));
    story.then(
        "it lists one that has ended",
        backends.stream()
            .filter(backend -> backend.stage() == BackendActor.Stage.ENDED)
            .anyMatch(backend -> isListed(story, backend)));
    story.approve();
  }

  @Test
  void anAddressIsUsedAgainByAnotherService() {
    Story story = Story.givenFleet(36, 3, 2);
    Machine machine = story.fleet().newMachine("reused", false);
    BackendActor former = story.fleet().addBackend(machine, OrderDocument.SERVICE);
    story.pass(3 * SECOND);
    former.crash();
    story.pass(2 * SECOND);
    BackendActor latter = story.fleet().addBackend(machine, "other");
    story.when("a backend crashes and one of another service begins at its address 2 s later");
    story.pass(10 * SECOND);
    story.then("the former is listed 10 s later", isListed(story, former));
    story.then(
        "the latter is listed with its service",
        story.door(0).process().backends("other").stream()
            .anyMatch(entry -> entry.getId().equals(latter.id())));
    story.approve();
  }

  @Test
  void aBackendThatNobodyHasHeardOfIsForgotten() {
    Story story = Story.givenFleet(37, 3, 2);
    BackendActor stays = story.fleet().addBackend();
    BackendActor crashed = story.fleet().addBackend();
    story.pass(3 * SECOND);
    crashed.crash();
    story.coreMachines().forEach(story.faults()::kill);
    story.pass(SECOND);
    story.fleet().cores().forEach(story.faults()::start);
    story.pass(30 * SECOND);
    story.when("a backend crashes, all core processes start anew, and 30 s pass");
    story.then("a door lists the one that crashed", isListed(story, crashed));
    story.then("it lists the other", story.lists(story.door(0), stays, BackendState.READY));
    story.approve();
  }

  @Test
  void quotasHoldWhileOwnersChangeAndDoorsAreCutOff() {
    Story story = Story.givenFleet(38, 3, 4);
    for (int round = 0; round < 4; round++) {
      story.faults().restart(story.owner(), 500 * MILLISECOND);
      story.pass(2 * SECOND);
      story.faults().cut(List.of(story.door(round).machine()), story.coreMachines());
      story.pass(3 * SECOND);
      story.faults().healCuts();
      story.pass(3 * SECOND);
    }
    story.when(
        "the owner is killed four times and each door is cut off once, under twice the load");
    long max = story.fleet().checker().maxTokensInWindow();
    story.then("some window holds over half of the limit", max > 4 * OrderDocument.RATE_PER_SECOND);
    story.approve();
  }

  @Test
  void aTenantGetsWhatItMayUseInCalmTimes() {
    Story story = Story.givenFleet(39, 3, 4);
    story.pass(10 * SECOND);
    long before = tokensTaken(story);
    story.pass(20 * SECOND);
    long used = tokensTaken(story) - before;
    story.when("doors are pressed by twice the limit for 20 s of calm");
    story.then("over nine tenths of the rate are used", used > 18 * OrderDocument.RATE_PER_SECOND);
    story.approve();
  }

  private static long tokensTaken(Story story) {
    return story.fleet().doors().stream().mapToLong(door -> door.traffic().tokensTaken()).sum();
  }

  private static boolean storyDoorsKnowClosing(Story story, BackendActor backend) {
    return story.fleet().doors().stream()
        .noneMatch(door -> story.lists(door, backend, BackendState.READY));
  }

  private static boolean isListed(Story story, BackendActor backend) {
    return story.lists(story.door(0), backend, BackendState.READY);
  }
}
