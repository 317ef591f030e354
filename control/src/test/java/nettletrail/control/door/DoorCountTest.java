package nettletrail.control.door;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import nettletrail.protocol.DoorHeartbeatReply;
import org.junit.jupiter.api.Test;

/** When the number of doors, by which budgets are divided, increases and decreases. */
class DoorCountTest {
  private static final long SECOND = 1_000_000_000L;
  private static final long DELAY_SECONDS = 11;

  private final DoorCount count = new DoorCount();
  private final CoreLink one = new CoreLink("one", 0);
  private final CoreLink two = new CoreLink("two", 0);
  private final CoreLink three = new CoreLink("three", 0);
  private long now;

  @Test
  void highestReportedCountWins() {
    report(one, 1);
    report(two, 9);
    update();
    assertEquals(9, count.count());
    report(two, 0);
    update();
    assertEquals(9, count.count(), "it falls only after a while");
  }

  @Test
  void countDecreasesWhenFewerAreReportedForLong() {
    report(one, 9);
    report(two, 9);
    update();
    report(one, 4);
    report(two, 5);
    advancePastDelay();
    assertEquals(5, count.count());
  }

  @Test
  void countStaysWhenOnlyAMinorityIsLinked() {
    report(one, 9);
    report(two, 9);
    report(three, 9);
    update();
    two.linkDown(now);
    three.linkDown(now);
    report(one, 3);
    advancePastDelay();
    assertEquals(9, count.count());
  }

  private void report(CoreLink link, int doors) {
    if (!link.isUp()) {
      link.linkUp(now);
    }
    link.replied(
        new DoorHeartbeatReply("core", now, true, 0L, 1L, 1L, 0L, doors, "zone", null), now);
  }

  private void advancePastDelay() {
    for (int second = 0; second <= DELAY_SECONDS; second++) {
      now += SECOND;
      update();
    }
  }

  private void update() {
    count.update(List.of(one, two, three), now);
  }
}
