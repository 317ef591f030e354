package nettletrail.control.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import nettletrail.control.TestMessages;
import nettletrail.protocol.DoorHeartbeatReply;
import org.junit.jupiter.api.Test;

/** The end of the lease by confirmations that arrive late, out of order or early. */
class KeyLeaseTest {
  private static final long MILLIS = 1_000_000L;
  private static final long REVOKE_MS = 5_000;
  private static final long IN_FORCE_MS = 2_000;
  private static final long MARGIN_MS = 100;
  private static final long SENT_AT = 60_000 * MILLIS;
  private static final long SEQUENCE = 7;

  private final KeyLease lease = new KeyLease(REVOKE_MS);

  KeyLeaseTest() {
    lease.sequenceReached(SEQUENCE);
  }

  @Test
  void leaseLastsFromTheConfirmedInstantHoweverLateTheReplyIsRead() {
    lease.confirmed(reply(SEQUENCE, 300));
    long confirmedAt = SENT_AT - 300 * MILLIS;
    long until = confirmedAt + (REVOKE_MS - MARGIN_MS) * MILLIS;
    assertEquals(OptionalLong.of(until), lease.until());
    assertTrue(lease.confirmedWithin(300 * MILLIS, SENT_AT));
    assertFalse(lease.confirmedWithin(300 * MILLIS, SENT_AT + 20_000 * MILLIS));
  }

  @Test
  void earlierConfirmationReadLaterDoesNotShortenTheLease() {
    lease.confirmed(reply(SEQUENCE, 300));
    OptionalLong until = lease.until();
    lease.confirmed(reply(SEQUENCE, 15_000));
    assertEquals(until, lease.until());
  }

  @Test
  void confirmationOfAnUnreachedSequenceDoesNotCount() {
    lease.confirmed(reply(SEQUENCE + 1, 300));
    assertEquals(OptionalLong.empty(), lease.until());
  }

  @Test
  void deferredConfirmationsCountOnceTheirSequenceIsReached() {
    lease.confirmed(reply(SEQUENCE + 1, 300));
    lease.confirmed(reply(SEQUENCE + 2, 200));
    lease.sequenceReached(SEQUENCE + 1);
    assertEquals(leaseUntil(300), lease.until());
    lease.sequenceReached(SEQUENCE + 2);
    assertEquals(leaseUntil(200), lease.until());
  }

  @Test
  void firstAndLastDeferredConfirmationsAreKept() {
    int many = 20;
    for (int newer = 1; newer <= many; newer++) {
      lease.confirmed(reply(SEQUENCE + newer, 300 - newer));
    }
    lease.sequenceReached(SEQUENCE + 1);
    assertEquals(leaseUntil(299), lease.until());
    lease.sequenceReached(SEQUENCE + many);
    assertEquals(leaseUntil(300 - many), lease.until());
  }

  private static OptionalLong leaseUntil(long ageMs) {
    return OptionalLong.of(SENT_AT + (REVOKE_MS - MARGIN_MS - ageMs) * MILLIS);
  }

  private static DoorHeartbeatReply reply(long sequence, long ageMs) {
    return TestMessages.reply("10.0.0.1:7680", SENT_AT, ageMs, sequence);
  }
}
