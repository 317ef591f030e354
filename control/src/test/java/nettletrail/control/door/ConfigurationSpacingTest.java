package nettletrail.control.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.Optional;
import nettletrail.control.TestMessages;
import nettletrail.protocol.DoorHeartbeatReply;
import org.junit.jupiter.api.Test;

/** Configurations in quick succession at a door that is slow to put one in force. */
class ConfigurationSpacingTest {
  private static final long MILLIS = 1_000_000L;
  private static final long REVOKE_MS = 5_000;
  private static final long IN_FORCE_MS = 2_000;
  private static final long TOOK = 100 * MILLIS;
  private static final long SPACING = 400 * MILLIS;

  private final KeyLease keys = new KeyLease(REVOKE_MS);
  private final ConfigurationGate gate = new ConfigurationGate(keys);
  private long now = 50_000 * MILLIS;

  @Test
  void givenOneInForceWhenManyFollowThenOnlyTheNewestComesIntoForceAfterTheSpacing() {
    firstInForce();
    for (long sequence = 2; sequence <= 20; sequence++) {
      gate.received(held(sequence));
      now += SPACING / 20;
      assertEquals(Optional.empty(), gate.takeDue(now));
    }
    now += SPACING / 20;
    assertEquals(20, gate.takeDue(now).orElseThrow().sequence());
    assertEquals(Optional.empty(), gate.takeDue(now));
  }

  @Test
  void givenACostlyConfigurationWhenAnotherFollowsThenItWaitsNoLongerThanTheBound() {
    firstInForce();
    gate.putInForce(10_000 * MILLIS, now);
    gate.received(held(2));
    assertEquals(Optional.empty(), gate.takeDue(now + 499 * MILLIS));
    assertTrue(gate.takeDue(now + 500 * MILLIS).isPresent());
  }

  @Test
  void givenASlowOneLongAgoWhenAnotherComesThenItComesIntoForceAtOnce() {
    firstInForce();
    now += SPACING;
    gate.received(held(2));
    assertTrue(gate.takeDue(now).isPresent());
  }

  @Test
  void givenAConfigurationThatWaitsWhenItIsConfirmedThenTheKeysBeforeItAreNotProlonged() {
    firstInForce();
    long before = keys.until().orElseThrow();
    now += SPACING / 2;
    gate.received(held(2));
    gate.confirmed(confirmation(2));
    assertEquals(before, keys.until().orElseThrow());
    now += SPACING / 2;
    gate.takeDue(now);
    assertTrue(keys.until().orElseThrow() > before);
  }

  @Test
  void givenAFirstInForceWhenTheNextWaitsThenTheCoreIsNotAskedMoreOftenForIt() {
    firstInForce();
    gate.received(held(2));
    assertFalse(gate.awaitsConfirmation());
  }

  private void firstInForce() {
    gate.received(held(1));
    gate.confirmed(confirmation(1));
    assertTrue(gate.takeDue(now).isPresent());
    gate.putInForce(TOOK, now);
  }

  private static PendingConfiguration held(long sequence) {
    return new PendingConfiguration(sequence, sequence, ByteBuffer.allocate(0));
  }

  private DoorHeartbeatReply confirmation(long sequence) {
    return TestMessages.reply("core", now, 0, sequence);
  }
}
