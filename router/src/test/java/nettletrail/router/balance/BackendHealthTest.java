package nettletrail.router.balance;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class BackendHealthTest {
  private static final long PAUSE = BackendHealth.FIRST_PAUSE_NANOS;
  private final BackendHealth health = new BackendHealth();

  private void fail(long now) {
    health.failed(now);
  }

  @Test
  void failuresInARowEjectItForAPause() {
    fail(0);
    fail(0);
    assertTrue(health.admits(0));
    fail(0);
    assertFalse(health.admits(PAUSE - 1));
    assertTrue(health.admits(PAUSE));
  }

  @Test
  void aSuccessBetweenThemStartsAnew() {
    fail(0);
    fail(0);
    health.succeeded();
    fail(0);
    fail(0);
    assertTrue(health.admits(0));
  }

  @Test
  void oneRequestTriesItAndItsFailureDoublesThePause() {
    fail(0);
    fail(0);
    fail(0);
    health.sent(true, PAUSE);
    assertFalse(health.admits(PAUSE), "one at a time");
    fail(PAUSE);
    assertFalse(health.admits(PAUSE + 2 * PAUSE - 1));
    assertTrue(health.admits(PAUSE + 2 * PAUSE));
    health.sent(true, 3 * PAUSE);
    health.succeeded();
    assertTrue(health.admits(3 * PAUSE));
  }

  @Test
  void silenceEjectsItAndAWordBringsItBack() {
    health.sent(true, 0);
    assertFalse(health.ejectIfSilent(0, BackendHealth.SILENCE_NANOS));
    assertTrue(health.ejectIfSilent(0, BackendHealth.SILENCE_NANOS + 1));
    assertFalse(health.ejectIfSilent(0, BackendHealth.SILENCE_NANOS + 2), "told once");
    assertFalse(health.admits(BackendHealth.SILENCE_NANOS + 2));
    health.heard(BackendHealth.SILENCE_NANOS + 3);
    assertTrue(health.admits(BackendHealth.SILENCE_NANOS + 3));
  }

  @Test
  void whatItHasToReadIsAllowedFor() {
    health.sent(true, 0);
    assertFalse(health.ejectIfSilent(1_000, BackendHealth.SILENCE_NANOS + 1_000));
    assertTrue(health.ejectIfSilent(1_000, BackendHealth.SILENCE_NANOS + 1_001));
  }

  @Test
  void aWordDoesNotBringBackOneThatFailed() {
    fail(0);
    fail(0);
    fail(0);
    health.heard(1);
    assertFalse(health.admits(2));
  }
}
