package nettletrail.emulator.story;

import static nettletrail.emulator.story.Story.MILLISECOND;
import static nettletrail.emulator.story.Story.SECOND;

import java.util.List;
import nettletrail.emulator.actors.OrderDocument;
import nettletrail.emulator.fleet.CoreNode;
import nettletrail.emulator.simulation.VirtualTime;
import org.junit.jupiter.api.Test;

/** Losses of processes, machines and disks of the core. */
class LossStoriesTest {
  private static final long CATCH_UP = 4 * SECOND;
  private static final long LATE_START = 900 * MILLISECOND;

  @Test
  void allAreKilledWithin400MillisecondsOfAnOrder() {
    Story story = Story.givenFleet(11, 3, 2);
    OrderDocument order = story.operator().order(1_000);
    story.when("an order is sent, all core processes are killed within 400 ms and are back in 1 s");
    VirtualTime time = story.fleet().time();
    long delay = 0;
    for (CoreNode core : story.fleet().cores()) {
      delay += 130 * MILLISECOND;
      time.after(delay, () -> story.faults().restart(core, LATE_START));
    }
    story.waitFor(() -> story.operator().isIdle());
    story.then("the order is acknowledged", story.operator().newest() == order);
    story.pass(3 * SECOND);
    story.then("it is read back", story.readBack() == order);
    story.approve();
  }

  @Test
  void allLosePowerRightAfterAnAcknowledgement() {
    Story story = Story.givenFleet(12, 3, 2);
    story.then("an order is acknowledged", story.orderIsAcknowledged());
    OrderDocument order = story.operator().newest();
    story.coreMachines().forEach(story.faults()::losePower);
    story.pass(LATE_START);
    story.fleet().cores().forEach(story.faults()::start);
    story.when("all core machines lose power at that moment and are back in 1 s");
    story.then("the order is read back", story.readBack() == order);
    story.then("the next one is acknowledged", story.orderIsAcknowledged());
    story.approve();
  }

  @Test
  void theOwnersDiskIsWipedWhileTheOthersLosePower() {
    Story story = Story.givenFleet(13, 3, 2);
    CoreNode owner = story.owner();
    List<CoreNode> others = story.followers();
    story.then("an order is acknowledged", story.orderIsAcknowledged());
    OrderDocument order = story.operator().newest();
    story.faults().wipe(owner);
    others.forEach(core -> story.faults().losePower(core.machine()));
    story.pass(LATE_START);
    story.fleet().cores().forEach(story.faults()::start);
    story.when("the owner loses its disk and the others lose power at that moment");
    story.then("the order is read back", story.readBack() == order);
    story.then("the next one is acknowledged", story.orderIsAcknowledged());
    story.approve();
  }

  @Test
  void aDiskIsLostAndLaterTheNextOneAndTheThird() {
    Story story = Story.givenFleet(14, 3, 2);
    for (CoreNode core : List.copyOf(story.fleet().cores())) {
      story.faults().wipe(core);
      story.pass(200 * MILLISECOND);
      story.faults().start(core);
      story.pass(CATCH_UP);
      story.when("a disk is lost, and the machine has had its time to catch up");
      story.then("an order is acknowledged", story.orderIsAcknowledged());
    }
    story.then("the last is read back", story.readBack() == story.operator().newest());
    story.approve();
  }

  @Test
  void aMachineIsReplacedAndLaterAnotherLosesItsDisk() {
    Story story = Story.givenFleet(15, 3, 2);
    CoreNode replaced = story.followers().get(0);
    CoreNode wiped = story.followers().get(1);
    story.faults().replace(replaced);
    story.pass(CATCH_UP + 100 * MILLISECOND);
    story.when("a machine is replaced, and the new one has had its time to catch up");
    story.faults().wipe(wiped);
    story.pass(200 * MILLISECOND);
    story.faults().start(wiped);
    story.when("another loses its disk");
    story.then("an order is acknowledged", story.orderIsAcknowledged());
    story.then("it is read back", story.readBack() == story.operator().newest());
    story.approve();
  }

  @Test
  void theOwnerIsReplacedAndLaterAnotherLosesItsDisk() {
    Story story = Story.givenFleet(16, 3, 2);
    CoreNode wiped = story.followers().get(1);
    story.faults().replace(story.owner());
    story.pass(CATCH_UP + 100 * MILLISECOND);
    story.when("the owner is replaced, and the new machine has had its time to catch up");
    story.faults().wipe(wiped);
    story.pass(200 * MILLISECOND);
    story.faults().start(wiped);
    story.when("another loses its disk");
    story.then("an order is acknowledged", story.orderIsAcknowledged());
    story.then("it is read back", story.readBack() == story.operator().newest());
    story.approve();
  }

  @Test
  void allMachinesAreReplacedOneByOneAndTheSeedsFollow() {
    Story story = Story.givenFleet(17, 3, 2);
    for (CoreNode core : List.copyOf(story.fleet().cores())) {
      story.faults().replace(core);
      story.faults().exchangeSeeds();
      story.pass(2 * CATCH_UP);
      story.when("a machine is replaced at another address and all hear of other seeds");
      story.then("an order is acknowledged", story.orderIsAcknowledged());
    }
    story.faults().kill(story.door(0).machine());
    story.faults().start(story.door(0));
    story.pass(3 * SECOND);
    story.when("a door starts that knows none of the first machines");
    story.then("it uses the last", story.uses(story.door(0), story.operator().newest()));
    story.approve();
  }

  @Test
  void aDiskFillsUpInTheMiddleOfTheWriteAside() {
    Story story = Story.givenFleet(18, 3, 2);
    CoreNode follower = story.followers().get(0);
    story.faults().fillDisk(follower, 100);
    story.when("a replica's disk takes only 100 bytes more");
    story.then("an order is acknowledged", story.orderIsAcknowledged());
    story.faults().kill(follower.machine());
    story.faults().start(follower);
    story.pass(3 * SECOND);
    story.faults().freeDisk(follower);
    story.pass(3 * SECOND);
    story.when("the process starts again and the disk has room");
    CoreNode other = story.followers().stream().filter(core -> core != follower).findFirst().get();
    story.faults().losePower(other.machine());
    story.then("an order is acknowledged without the third", story.orderIsAcknowledged());
    story.approve();
  }

  @Test
  void theOwnersDiskHangs() {
    Story story = Story.givenFleet(19, 3, 2);
    story.faults().hangDisk(story.owner(), 6 * SECOND);
    story.when("the owner's disk hangs for 6 s");
    story.then("an order is acknowledged", story.orderIsAcknowledged());
    story.approve();
  }

  @Test
  void theOwnerDiesAndIsBackAtOnce() {
    Story story = Story.givenFleet(20, 3, 2);
    story.faults().restart(story.owner(), 100 * MILLISECOND);
    story.when("the owner is killed and back in 100 ms");
    story.then("an order is acknowledged", story.orderIsAcknowledged());
    story.then("it is read back", story.readBack() == story.operator().newest());
    story.approve();
  }

  @Test
  void fiveWithstandTheLossOfTwoDisks() {
    Story story = Story.givenFleet(21, 5, 2);
    story.then("an order is acknowledged", story.orderIsAcknowledged());
    OrderDocument order = story.operator().newest();
    List<CoreNode> cores = List.copyOf(story.fleet().cores());
    cores.subList(0, 2).forEach(story.faults()::wipe);
    cores.subList(2, 5).forEach(core -> story.faults().losePower(core.machine()));
    story.pass(LATE_START);
    cores.forEach(story.faults()::start);
    story.when("two of five machines lose their disks and the others lose power");
    story.then("the order is read back", story.readBack() == order);
    story.then("the next one is acknowledged", story.orderIsAcknowledged());
    story.approve();
  }

  @Test
  void theOwnerIsToldToEnd() {
    Story story = Story.givenFleet(23, 3, 2);
    CoreNode owner = story.owner();
    story.faults().terminate(owner);
    story.pass(200 * MILLISECOND);
    story.when("the owner is told to end and has ended");
    long before = story.fleet().time().now();
    story.then("an order is acknowledged", story.orderIsAcknowledged());
    boolean quick = story.fleet().time().now() - before < SECOND;
    story.then("that took less than 1 s, less than a lease", quick);
    story.approve();
  }

  @Test
  void aFullDiskCountsForNothing() {
    Story story = Story.givenFleet(24, 3, 2);
    CoreNode full = story.followers().get(0);
    CoreNode down = story.followers().get(1);
    story.faults().fillDisk(full, 100);
    story.faults().losePower(down.machine());
    OrderDocument order = story.operator().order(1_000);
    story.pass(3 * SECOND);
    story.when("one replica's disk is full, another has no power, and an order is sent");
    story.then("it is acknowledged", story.operator().newest() == order);
    story.faults().freeDisk(full);
    story.waitFor(story.operator()::isIdle);
    story.when("the disk has room");
    story.then("it is acknowledged", story.operator().newest() == order);
    story.approve();
  }

  @Test
  void aNewMachineAndAnotherLoseTheirDisksSoonAfterAReplacement() {
    Story story = Story.givenFleet(22, 5, 2);
    CoreNode replaced = story.followers().get(0);
    CoreNode wiped = story.followers().get(1);
    CoreNode successor = story.faults().replace(replaced);
    story.pass(1_400 * MILLISECOND);
    for (CoreNode lost : List.of(successor, wiped)) {
      story.faults().wipe(lost);
      story.pass(100 * MILLISECOND);
      story.faults().start(lost);
    }
    story.when("one of five is replaced, and the new one and another lose their disks 1.4 s later");
    story.then("an order is acknowledged", story.orderIsAcknowledged());
    story.then("it is read back", story.readBack() == story.operator().newest());
    story.approve();
  }
}
