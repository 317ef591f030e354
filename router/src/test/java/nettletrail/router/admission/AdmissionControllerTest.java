package nettletrail.router.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class AdmissionControllerTest {
  private static final long PERIOD = AdmissionController.PERIOD_NANOS;

  private static AdmissionController admissionController(int doors) {
    return new AdmissionController(1_000, 4_000, doors, 1, 0);
  }

  @Test
  void theBucketStartsWithTheDoorsPartOfTheBurst() {
    assertEquals(1_000, admissionController(4).bucketTokens());
  }

  @Test
  void withoutAReadingTheBucketFillsAtTheDoorsPartOfTheRate() {
    AdmissionController admissionController = admissionController(4);
    admissionController.recordUse(1_000);
    admissionController.admits(0, 4, 2_000_000_000L);
    assertEquals(500, admissionController.bucketTokens(), 1e-6);
  }

  @Test
  void aReadingAddsTheUnusedPartOfTheRate() {
    AdmissionController admissionController = admissionController(4);
    admissionController.admits(40, 4, 1);
    admissionController.admits(40, 4, 1 + PERIOD);
    assertEquals(1_000 + 0.6 * 0.5 * 250, admissionController.bucketTokens(), 1e-3);
  }

  @Test
  void allRequestsAreAdmittedWhileTheBucketHasTokens() {
    AdmissionController admissionController = admissionController(4);
    admissionController.admits(150, 4, 1);
    admissionController.admits(150, 4, 1 + PERIOD);
    assertEquals(1, admissionController.admitProbability());
    for (int i = 0; i < 100; i++) {
      assertTrue(admissionController.admits(150, 4, 2 + PERIOD));
    }
  }

  @Test
  void theAdmitProbabilityFollowsTheReadingsOnceTheBucketIsEmpty() {
    AdmissionController admissionController = admissionController(4);
    admissionController.recordUse(1_000);
    admissionController.admits(200, 4, 1);
    admissionController.admits(200, 4, 1 + PERIOD);
    assertEquals(0.5, admissionController.admitProbability(), 1e-9);
    admissionController.admits(125, 4, 1 + 2 * PERIOD);
    assertEquals(0.4, admissionController.admitProbability(), 1e-9);
    int admitted = 0;
    for (int i = 0; i < 1_000; i++) {
      admitted += admissionController.admits(125, 4, 2 + 2 * PERIOD) ? 1 : 0;
    }
    assertTrue(admitted > 320 && admitted < 480, "admitted " + admitted);
  }

  /**
   * Requests are large compared to a second's rate, so readings oscillate. After an overload many
   * doors must absorb that as soon as few do.
   */
  @Test
  void afterOverloadOscillatingReadingsBelowTheRateRejectNothingAtAnyNumberOfDoors() {
    for (int doors : new int[] {4, 75, 380}) {
      AdmissionController admissionController = admissionController(doors);
      long now = 1;
      for (int period = 0; period < 20; period++) {
        admissionController.admits(600, doors, now);
        now += PERIOD;
      }
      int rejected = 0;
      for (int period = 0; period < 60; period++) {
        double pressure = period % 4 < 2 ? 120 : 34;
        boolean recovered = period > 40;
        rejected += !admissionController.admits(pressure, doors, now) && recovered ? 1 : 0;
        now += PERIOD;
      }
      assertEquals(0, rejected, doors + " doors");
    }
  }

  @Test
  void withoutPressureAllRequestsAreAdmittedAgain() {
    AdmissionController admissionController = admissionController(4);
    admissionController.recordUse(1_000);
    admissionController.admits(200, 4, 1);
    admissionController.admits(200, 4, 1 + PERIOD);
    admissionController.admits(0, 4, 1 + 2 * PERIOD);
    assertEquals(1, admissionController.admitProbability());
  }
}
