package nettletrail.control.door;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CoreContactTest {
  private static final long MILLIS = 1_000_000L;
  private static final long REVOKE_MS = 5_000;
  private static final long SILENCE_MS = 3_000;

  private final CoreContact contact = new CoreContact(REVOKE_MS, 0);

  @Test
  void contactIsLostSixTenthsOfTheRevocationTimeAfterTheLastAnsweredHeartbeat() {
    contact.replied(500 * MILLIS);
    assertFalse(contact.isLost((500 + SILENCE_MS) * MILLIS - 1));
    assertTrue(contact.isLost((500 + SILENCE_MS) * MILLIS));
  }

  @Test
  void aReplyToAnEarlierHeartbeatThatArrivesLateDoesNotCount() {
    contact.replied(500 * MILLIS);
    contact.replied(200 * MILLIS);
    assertFalse(contact.isLost((500 + SILENCE_MS) * MILLIS - 1));
  }

  @Test
  void contactIsBackWithAnyReply() {
    assertTrue(contact.isLost(10_000 * MILLIS));
    contact.replied(9_900 * MILLIS);
    assertFalse(contact.isLost(10_000 * MILLIS));
  }
}
