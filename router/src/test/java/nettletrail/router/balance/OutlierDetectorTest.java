package nettletrail.router.balance;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class OutlierDetectorTest {
  private static final long EJECTION = OutlierDetector.BASE_EJECTION_NANOS;
  private final OutlierDetector detector = new OutlierDetector();

  private void fail(long now) {
    detector.requestFailed(now);
  }

  @Test
  void consecutiveFailuresEjectForTheBaseTime() {
    fail(0);
    fail(0);
    assertTrue(detector.admits(0));
    fail(0);
    assertFalse(detector.admits(EJECTION - 1));
    assertTrue(detector.admits(EJECTION));
  }

  @Test
  void aSuccessResetsTheFailureCount() {
    fail(0);
    fail(0);
    detector.requestSucceeded();
    fail(0);
    fail(0);
    assertTrue(detector.admits(0));
  }

  @Test
  void aFailedTrialRequestDoublesTheEjectionTime() {
    fail(0);
    fail(0);
    fail(0);
    detector.requestSent(true, EJECTION);
    assertFalse(detector.admits(EJECTION), "one trial request at a time");
    fail(EJECTION);
    assertFalse(detector.admits(EJECTION + 2 * EJECTION - 1));
    assertTrue(detector.admits(EJECTION + 2 * EJECTION));
    detector.requestSent(true, 3 * EJECTION);
    detector.requestSucceeded();
    assertTrue(detector.admits(3 * EJECTION));
  }

  @Test
  void anIdleTimeoutEjectsUntilBytesAreReceived() {
    detector.requestSent(true, 0);
    assertFalse(detector.ejectIfUnresponsive(0, OutlierDetector.IDLE_TIMEOUT_NANOS));
    assertTrue(detector.ejectIfUnresponsive(0, OutlierDetector.IDLE_TIMEOUT_NANOS + 1));
    assertFalse(
        detector.ejectIfUnresponsive(0, OutlierDetector.IDLE_TIMEOUT_NANOS + 2), "reported once");
    assertFalse(detector.admits(OutlierDetector.IDLE_TIMEOUT_NANOS + 2));
    detector.bytesReceived(OutlierDetector.IDLE_TIMEOUT_NANOS + 3);
    assertTrue(detector.admits(OutlierDetector.IDLE_TIMEOUT_NANOS + 3));
  }

  @Test
  void thePrefillAllowanceExtendsTheIdleTimeout() {
    detector.requestSent(true, 0);
    assertFalse(detector.ejectIfUnresponsive(1_000, OutlierDetector.IDLE_TIMEOUT_NANOS + 1_000));
    assertTrue(detector.ejectIfUnresponsive(1_000, OutlierDetector.IDLE_TIMEOUT_NANOS + 1_001));
  }

  @Test
  void bytesDoNotEndAnEjectionForFailures() {
    fail(0);
    fail(0);
    fail(0);
    detector.bytesReceived(1);
    assertFalse(detector.admits(2));
  }
}
