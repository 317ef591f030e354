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

  /**
   * Requests are large beside a second's rate, so readings swing. After a time of high demand many
   * doors must absorb that as soon as few do.
   */
  @Test
  void afterATimeOfHighDemandSwingingReadingsBelowTheRateRefuseNobodyAtManyDoors() {
    for (int doors : new int[] {4, 75, 380}) {
      Companion companion = companion(doors);
      long now = 1;
      for (int period = 0; period < 20; period++) {
        companion.admits(600, doors, now);
        now += PERIOD;
      }
      int refused = 0;
      for (int period = 0; period < 60; period++) {
        double pressure = period % 4 < 2 ? 120 : 34;
        boolean settled = period > 40;
        refused += !companion.admits(pressure, doors, now) && settled ? 1 : 0;
        now += PERIOD;
      }
      assertEquals(0, refused, doors + " doors");
    }
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
