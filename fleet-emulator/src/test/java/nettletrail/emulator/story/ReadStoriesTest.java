package nettletrail.emulator.story;

import static nettletrail.emulator.story.Story.MILLISECOND;

import nettletrail.emulator.actors.Operator;
import nettletrail.emulator.actors.OrderDocument;
import nettletrail.emulator.fleet.CoreNode;
import org.junit.jupiter.api.Test;

/** Reads of the configuration beside what doors use already. */
class ReadStoriesTest {

  @Test
  void aReadWhileAWriteIsInFlightDoesNotGoBehindWhatADoorUses() {
    Story story = Story.givenFleet(6, 3, 2);
    CoreNode owner = story.owner();
    for (CoreNode follower : story.followers()) {
      long late = 800 * MILLISECOND;
      story.fleet().simulation().network().setExtraDelay(follower.machine(), owner.machine(), late);
    }
    OrderDocument order = story.fleet().orders().create(story.operator().newest(), 1);
    Operator writer = story.fleet().addOperator();
    writer.sendTo(owner.controlAddress(), order);
    story.when("all replicas have stored an order and their answers to the owner are late");
    boolean used = story.waitFor(() -> story.uses(story.door(0), order));
    story.then("a door uses it", used);
    Operator reader = story.fleet().addOperator();
    reader.readAt(owner.controlAddress());
    story.waitFor(reader::isIdle);
    story.then("a read at the owner gives it", reader.newest() == order);
    story.approve();
  }
}
