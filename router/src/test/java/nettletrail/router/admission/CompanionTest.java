package nettletrail.router.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CompanionTest {
  private static final long PERIOD = Companion.PERIOD_NANOS;

  private static Companion companion(int doors) {
    return new Companion(1_000, 4_000, doors, 1, 0);
  }

  @Test
  void theStoreBeginsAtTheDoorsShareOfTheBurst() {
    assertEquals(1_000, companion(4).store());
  }

  @Test
  void untilTheFirstReadingItFillsAtTheDoorsShareOfTheRate() {
    Companion companion = companion(4);
    companion.used(1_000);
    companion.admits(0, 4, 2_000_000_000L);
    assertEquals(500, companion.store(), 1e-6);
  }

  @Test
  void aReadingAddsWhatIsLeftOfTheRate() {
    Companion companion = companion(4);
    companion.admits(40, 4, 1);
    companion.admits(40, 4, 1 + PERIOD);
    assertEquals(1_000 + 0.6 * 0.5 * 250, companion.store(), 1e-3);
  }

  @Test
  void whileTheStoreLastsAllAreAdmitted() {
    Companion companion = companion(4);
    companion.admits(150, 4, 1);
    companion.admits(150, 4, 1 + PERIOD);
    assertEquals(1, companion.share());
    for (int i = 0; i < 100; i++) {
      assertTrue(companion.admits(150, 4, 2 + PERIOD));
    }
  }

  @Test
  void onceItIsSpentTheShareFollowsTheReadings() {
    Companion companion = companion(4);
    companion.used(1_000);
    companion.admits(200, 4, 1);
    companion.admits(200, 4, 1 + PERIOD);
    assertEquals(0.5, companion.share(), 1e-9);
    companion.admits(125, 4, 1 + 2 * PERIOD);
    assertEquals(0.4, companion.share(), 1e-9);
    int admitted = 0;
    for (int i = 0; i < 1_000; i++) {
      admitted += companion.admits(125, 4, 2 + 2 * PERIOD) ? 1 : 0;
    }
    assertTrue(admitted > 320 && admitted < 480, "admitted " + admitted);
  }

  @Test
  void withoutPressureAllAreAdmittedAgain() {
    Companion companion = companion(4);
    companion.used(1_000);
    companion.admits(200, 4, 1);
    companion.admits(200, 4, 1 + PERIOD);
    companion.admits(0, 4, 1 + 2 * PERIOD);
    assertEquals(1, companion.share());
  }
}
