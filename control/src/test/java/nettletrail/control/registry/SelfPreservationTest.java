package nettletrail.control.registry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When a backend without heartbeats expires. */
class SelfPreservationTest {
  private static final long MILLIS = 1_000_000L;
  private static final long HEARTBEAT = 1_000 * MILLIS;
  private static final long EXPIRY = 5_000 * MILLIS;
  private static final long PRESERVED_EXPIRY = 20_000 * MILLIS;

  private final SelfPreservation selfPreservation = new SelfPreservation(HEARTBEAT, 0);

  @Test
  void backendExpiresAfterFourHeartbeatsAndASecondInNormalContact() {
    assertFalse(selfPreservation.isExpired(0, EXPIRY));
    assertTrue(selfPreservation.isExpired(0, EXPIRY + 1));
  }

  @Test
  void backendIsInContactForTwoHeartbeats() {
    assertTrue(selfPreservation.isInContact(0, 2 * HEARTBEAT));
    assertFalse(selfPreservation.isInContact(0, 2 * HEARTBEAT + 1));
  }

  @Test
  void oneInThreeLiveBackendsInContactIsNormal() {
    selfPreservation.update(1, 3, EXPIRY);
    assertTrue(selfPreservation.isExpired(0, EXPIRY + 1));
    selfPreservation.update(1, 4, EXPIRY);
    assertFalse(selfPreservation.isExpired(0, EXPIRY + 1));
  }

  @Test
  void backendExpiresLaterWhileFewAreInContact() {
    selfPreservation.update(1, 4, PRESERVED_EXPIRY);
    assertFalse(selfPreservation.isExpired(0, PRESERVED_EXPIRY));
    assertTrue(selfPreservation.isExpired(0, PRESERVED_EXPIRY + 1));
  }

  @Test
  void noBackendExpiresWhileNoneIsInContact() {
    selfPreservation.update(0, 4, PRESERVED_EXPIRY);
    assertFalse(selfPreservation.isExpired(0, PRESERVED_EXPIRY + 1));
  }

  @Test
  void restartCountsExpiryAnew() {
    selfPreservation.restart(EXPIRY);
    assertFalse(selfPreservation.isExpired(0, 2 * EXPIRY));
    assertTrue(selfPreservation.isExpired(0, 2 * EXPIRY + 1));
  }
}
