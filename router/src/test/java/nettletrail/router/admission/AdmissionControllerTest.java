package nettletrail.router.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CompanionTest {
  private static final long PERIOD = AdmissionController.PERIOD_NANOS;

  private static AdmissionController admissionController(int doors) {
    return new AdmissionController(1_000, 4_000, doors, 1, 0);
  }

  @Test
  void theStoreBeginsAtTheDoorsShareOfTheBurst() {
    assertEquals(1_000, admissionController(4).store());
  }

  @Test
  void untilTheFirstReadingItFillsAtTheDoorsShareOfTheRate() {
    AdmissionController admissionController = admissionController(4);
    admissionController.used(1_000);
    admissionController.admits(0, 4, 2_000_000_000L);
    assertEquals(500, admissionController.store(), 1e-6);
  }

  @Test
  void aReadingAddsWhatIsLeftOfTheRate() {
    AdmissionController admissionController = admissionController(4);
    admissionController.admits(40, 4, 1);
    admissionController.admits(40, 4, 1 + PERIOD);
    assertEquals(1_000 + 0.6 * 0.5 * 250, admissionController.store(), 1e-3);
  }

  @Test
  void whileTheStoreLastsAllAreAdmitted() {
    AdmissionController admissionController = admissionController(4);
    admissionController.admits(150, 4, 1);
    admissionController.admits(150, 4, 1 + PERIOD);
    assertEquals(1, admissionController.share());
    for (int i = 0; i < 100; i++) {
      assertTrue(admissionController.admits(150, 4, 2 + PERIOD));
    }
  }

  @Test
  void onceItIsSpentTheShareFollowsTheReadings() {
    AdmissionController admissionController = admissionController(4);
    admissionController.used(1_000);
    admissionController.admits(200, 4, 1);
    admissionController.admits(200, 4, 1 + PERIOD);
    assertEquals(0.5, admissionController.share(), 1e-9);
    admissionController.admits(125, 4, 1 + 2 * PERIOD);
    assertEquals(0.4, admissionController.share(), 1e-9);
    int admitted = 0;
    for (int i = 0; i < 1_000; i++) {
      admitted += admissionController.admits(125, 4, 2 + 2 * PERIOD) ? 1 : 0;
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
      AdmissionController admissionController = admissionController(doors);
      long now = 1;
      for (int period = 0; period < 20; period++) {
        admissionController.admits(600, doors, now);
        now += PERIOD;
      }
      int refused = 0;
      for (int period = 0; period < 60; period++) {
        double pressure = period % 4 < 2 ? 120 : 34;
        boolean settled = period > 40;
        refused += !admissionController.admits(pressure, doors, now) && settled ? 1 : 0;
        now += PERIOD;
      }
      assertEquals(0, refused, doors + " doors");
    }
  }

  @Test
  void withoutPressureAllAreAdmittedAgain() {
    AdmissionController admissionController = admissionController(4);
    admissionController.used(1_000);
    admissionController.admits(200, 4, 1);
    admissionController.admits(200, 4, 1 + PERIOD);
    admissionController.admits(0, 4, 1 + 2 * PERIOD);
    assertEquals(1, admissionController.share());
  }
}
