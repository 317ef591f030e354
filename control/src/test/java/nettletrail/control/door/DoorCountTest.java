package nettletrail.control.door;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import nettletrail.protocol.DoorHeartbeatReply;
import org.junit.jupiter.api.Test;

/** When the count of doors, by which budgets are shared, rises and falls. */
class DoorCountTest {
  private static final long SECOND = 1_000_000_000L;
  private static final long LONG_ENOUGH = 11;

  private final DoorCount count = new DoorCount();
  private final CoreLink one = new CoreLink("one", 0);
  private final CoreLink two = new CoreLink("two", 0);
  private final CoreLink three = new CoreLink("three", 0);
  private long now;

  @Test
  void givenARestartedCoreProcessThatKnowsFewDoorsWhenOthersKnowMoreThenTheMostCounts() {
    told(one, 1);
    told(two, 9);
    tick();
    assertEquals(9, count.count());
    told(two, 0);
    tick();
    assertEquals(9, count.count(), "it falls only after a while");
  }

  @Test
  void givenFewerDoorsAtMostCoreProcessesWhenThatLastsThenItFalls() {
    told(one, 9);
    told(two, 9);
    tick();
    told(one, 4);
    told(two, 5);
    passWithTicks();
    assertEquals(5, count.count());
  }

  @Test
  void givenOneLinkedCoreProcessOfThreeWhenItSeesFewDoorsForLongThenTheCountStays() {
    told(one, 9);
    told(two, 9);
    told(three, 9);
    tick();
    two.linkDown(now);
    three.linkDown(now);
    told(one, 3);
    passWithTicks();
    assertEquals(9, count.count());
  }

  private void told(CoreLink link, int doors) {
    if (!link.isUp()) {
      link.linkUp(now);
    }
    link.replied(
        new DoorHeartbeatReply("core", now, true, 0L, 1L, 1L, 0L, doors, "zone", null), now);
  }

  private void passWithTicks() {
    for (int second = 0; second <= LONG_ENOUGH; second++) {
      now += SECOND;
      tick();
    }
  }

  private void tick() {
    count.update(List.of(one, two, three), now);
  }
}
