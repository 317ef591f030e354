package nettletrail.control.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import nettletrail.control.TestMessages;
import nettletrail.protocol.DoorHeartbeatReply;
import org.junit.jupiter.api.Test;

/** Until when a confirmation holds that was held up on its way or in a process that was stopped. */
class KeyLeaseTest {
  private static final long MILLIS = 1_000_000L;
  private static final long REVOKE_MS = 5_000;
  private static final long IN_FORCE_MS = 2_000;
  private static final long MARGIN_MS = 100;
  private static final long ASKED_AT = 60_000 * MILLIS;
  private static final long SEQUENCE = 7;

  private final KeyLease lease = new KeyLease(REVOKE_MS);

  KeyLeaseTest() {
    lease.sequenceReached(SEQUENCE);
  }

  @Test
  void givenAConfirmationWhenItIsReadLateThenItHoldsNoLongerThanFromBeforeItWasAskedFor() {
    lease.confirmed(reply(SEQUENCE, 300));
    long confirmedAt = ASKED_AT - 300 * MILLIS;
    long until = confirmedAt + (REVOKE_MS - MARGIN_MS) * MILLIS;
    assertEquals(OptionalLong.of(until), lease.until());
    assertTrue(lease.confirmedWithin(300 * MILLIS, ASKED_AT));
    assertFalse(lease.confirmedWithin(300 * MILLIS, ASKED_AT + 20_000 * MILLIS));
  }

  @Test
  void givenALaterConfirmationWhenAnEarlierOneIsReadAfterItThenNothingIsTakenBack() {
    lease.confirmed(reply(SEQUENCE, 300));
    OptionalLong until = lease.until();
    lease.confirmed(reply(SEQUENCE, 15_000));
    assertEquals(until, lease.until());
  }

  @Test
  void givenAConfirmationOfSomethingNewerThanIsHeldThenItDoesNotCount() {
    lease.confirmed(reply(SEQUENCE + 1, 300));
    assertEquals(OptionalLong.empty(), lease.until());
  }

  @Test
  void givenNewerConfirmationsBeforeEachConfigurationWhenOneIsReachedThenThatOneCounts() {
    lease.confirmed(reply(SEQUENCE + 1, 300));
    lease.confirmed(reply(SEQUENCE + 2, 200));
    lease.sequenceReached(SEQUENCE + 1);
    assertEquals(confirmed(300), lease.until());
    lease.sequenceReached(SEQUENCE + 2);
    assertEquals(confirmed(200), lease.until());
  }

  @Test
  void givenMoreConfirmationsThanAreKeptWhenTheFirstAndTheLastAreReachedThenBothCount() {
    int many = 20;
    for (int newer = 1; newer <= many; newer++) {
      lease.confirmed(reply(SEQUENCE + newer, 300 - newer));
    }
    lease.sequenceReached(SEQUENCE + 1);
    assertEquals(confirmed(299), lease.until());
    lease.sequenceReached(SEQUENCE + many);
    assertEquals(confirmed(300 - many), lease.until());
  }

  private static OptionalLong confirmed(long ageMs) {
    return OptionalLong.of(ASKED_AT + (REVOKE_MS - MARGIN_MS - ageMs) * MILLIS);
  }

  private static DoorHeartbeatReply reply(long sequence, long ageMs) {
    return TestMessages.reply("10.0.0.1:7680", ASKED_AT, ageMs, sequence);
  }
}
