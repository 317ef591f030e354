package nettletrail.emulator.story;

import static nettletrail.emulator.story.Story.MILLISECOND;
import static nettletrail.emulator.story.Story.SECOND;
import static nettletrail.emulator.story.Story.machines;

import java.util.List;
import nettletrail.emulator.actors.Operator;
import nettletrail.emulator.actors.OrderDocument;
import nettletrail.emulator.fleet.CoreNode;
import org.junit.jupiter.api.Test;

/** The operator's configuration through changes of its owner, cuts and races. */
class ConfigurationStoriesTest {

  @Test
  void anOwnerFrozenPastItsLeaseWakesWithAWriteInHand() {
    Story story = Story.givenFleet(1, 3, 2);
    CoreNode owner = story.owner();
    Operator racing = story.fleet().addOperator();
    racing.read();
    story.waitFor(racing::isIdle);
    OrderDocument inHand = story.fleet().orders().create(racing.newest(), 2);
    story.faults().cut(List.of(owner.machine()), machines(story.followers()));
    racing.sendTo(owner.controlAddress(), inHand);
    story.pass(5 * MILLISECOND);
    story.faults().freeze(owner.machine());
    story.when("the owner writes an order that reaches nobody, and is frozen");
    story.then("another order is acknowledged", story.orderIsAcknowledged());
    CoreNode successor = story.owner();
    story.then("another process is the owner", successor != owner);
    story.faults().healCuts();
    story.faults().thaw(owner.machine());
    story.pass(3 * SECOND);
    story.when("the former owner is thawed and reaches the others");
    story.then("still the owner is the other", story.owner() == successor);
    racing.send(inHand, 10);
    story.waitFor(racing::isIdle);
    story.then("orders refused, the one in hand", story.fleet().checker().refusedOrders());
    story.then("the last order is read back", story.readBack() == story.operator().newest());
    story.approve();
  }

  @Test
  void theSameChangeIsSentToBothSidesOfACut() {
    Story story = Story.givenFleet(2, 3, 2);
    CoreNode owner = story.owner();
    List<CoreNode> others = story.followers();
    story.faults().cut(List.of(owner.machine()), machines(others));
    story.when("the owner is cut off and one order is sent to both sides");
    OrderDocument order = story.fleet().orders().create(story.operator().newest(), 1);
    Operator left = story.fleet().addOperator();
    Operator right = story.fleet().addOperator();
    left.sendTo(owner.controlAddress(), order);
    right.sendTo(others.get(0).controlAddress(), order);
    story.waitFor(() -> left.isIdle() && right.isIdle());
    story.pass(3 * SECOND);
    right.send(order, 10);
    story.waitFor(right::isIdle);
    story.then("the greater side acknowledges it", right.newest() == order);
    left.sendTo(owner.controlAddress(), order);
    story.waitFor(left::isIdle);
    story.then("the lesser side acknowledges it", left.newest() == order);
    story.faults().healCuts();
    story.pass(3 * SECOND);
    story.when("the cut has healed and it is sent once more");
    left.sendTo(owner.controlAddress(), order);
    story.waitFor(left::isIdle);
    story.then("it is acknowledged again", left.newest() == order);
    story.then("it is read back", story.readBack() == order);
    story.approve();
  }

  @Test
  void twoOperatorsBuildOnOneVersionThroughAChangeOfOwner() {
    Story story = Story.givenFleet(3, 3, 2);
    Operator one = story.fleet().addOperator();
    Operator two = story.fleet().addOperator();
    one.read();
    two.read();
    story.waitFor(() -> one.isIdle() && two.isIdle());
    OrderDocument first = one.order(100);
    OrderDocument second = two.order(100);
    story.pass(3 * MILLISECOND);
    CoreNode owner = story.owner();
    story.faults().kill(owner.machine());
    story.when("two orders on one version are on their way and the owner is killed");
    story.waitFor(() -> one.isIdle() && two.isIdle());
    OrderDocument winner = story.readBack();
    story.then("one of them is read back", winner == first || winner == second);
    story.then("both operators know the winner", one.newest() == winner && two.newest() == winner);
    story.then("orders refused", story.fleet().checker().refusedOrders());
    story.approve();
  }

  @Test
  void aReplacementJoinsWhileTheOldOwnerAnswersOneSide() {
    Story story = Story.givenFleet(4, 3, 2);
    CoreNode owner = story.owner();
    CoreNode near = story.followers().get(0);
    CoreNode replaced = story.followers().get(1);
    CoreNode successor = story.faults().replace(replaced);
    story.faults().cut(List.of(owner.machine()), List.of(near.machine()));
    story.when("a machine is replaced while the owner reaches only the new one");
    story.pass(12 * SECOND);
    story.faults().healCuts();
    story.then("an order is acknowledged", story.orderIsAcknowledged());
    story.pass(5 * SECOND);
    story.when("the cut has healed");
    story.then("the new machine is a member", isMember(story, successor));
    story.then("the replaced one is not", !isMember(story, replaced));
    story.then("the last order is read back", story.readBack() == story.operator().newest());
    story.approve();
  }

  @Test
  void aClockJumpsAheadAtTheOwner() {
    Story story = Story.givenFleet(5, 3, 2);
    CoreNode owner = story.owner();
    story.faults().stepClock(owner.machine(), 2 * SECOND);
    story.pass(5 * SECOND);
    story.when("the owner's time of day jumps ahead by 2 s");
    story.then("it is still the owner", story.owner() == owner);
    story.then("an order is acknowledged", story.orderIsAcknowledged());
    story.approve();
  }

  private static boolean isMember(Story story, CoreNode core) {
    return story.owner().process().knownMembers().stream()
        .anyMatch(member -> member.getAddress().equals(core.linkAddress()));
  }
}
