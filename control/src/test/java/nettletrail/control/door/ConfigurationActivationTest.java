package nettletrail.control.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.Optional;
import nettletrail.control.TestMessages;
import nettletrail.protocol.DoorHeartbeatReply;
import org.junit.jupiter.api.Test;

/** Configurations in quick succession at a door whose activations take long. */
class ConfigurationActivationTest {
  private static final long MILLIS = 1_000_000L;
  private static final long REVOKE_MS = 5_000;
  private static final long IN_FORCE_MS = 2_000;
  private static final long COST = 100 * MILLIS;
  private static final long DELAY = 400 * MILLIS;

  private final KeyLease keys = new KeyLease(REVOKE_MS);
  private final ConfigurationActivation activation = new ConfigurationActivation(keys);
  private long now = 50_000 * MILLIS;

  @Test
  void onlyTheNewestOfAQuickSuccessionIsActivatedAfterTheDelay() {
    activateFirst();
    for (long sequence = 2; sequence <= 20; sequence++) {
      activation.received(pending(sequence));
      now += DELAY / 20;
      assertEquals(Optional.empty(), activation.activateDue(now));
    }
    now += DELAY / 20;
    assertEquals(20, activation.activateDue(now).orElseThrow().sequence());
    assertEquals(Optional.empty(), activation.activateDue(now));
  }

  @Test
  void delayAfterACostlyActivationIsLimited() {
    activateFirst();
    activation.activated(10_000 * MILLIS, now);
    activation.received(pending(2));
    assertEquals(Optional.empty(), activation.activateDue(now + 499 * MILLIS));
    assertTrue(activation.activateDue(now + 500 * MILLIS).isPresent());
  }

  @Test
  void activationIsImmediateWhenTheLastOneIsLongPast() {
    activateFirst();
    now += DELAY;
    activation.received(pending(2));
    assertTrue(activation.activateDue(now).isPresent());
  }

  @Test
  void confirmationOfAPendingConfigurationDoesNotExtendTheKeysBeforeIt() {
    activateFirst();
    long before = keys.until().orElseThrow();
    now += DELAY / 2;
    activation.received(pending(2));
    keys.confirmed(confirmation(2));
    assertEquals(before, keys.until().orElseThrow());
    now += DELAY / 2;
    activation.activateDue(now);
    assertTrue(keys.until().orElseThrow() > before);
  }

  @Test
  void pendingSuccessorAwaitsNoConfirmation() {
    activateFirst();
    activation.received(pending(2));
    assertFalse(activation.awaitsConfirmation());
  }

  private void activateFirst() {
    activation.received(pending(1));
    keys.confirmed(confirmation(1));
    assertTrue(activation.activateDue(now).isPresent());
    activation.activated(COST, now);
  }

  private static PendingConfiguration pending(long sequence) {
    return new PendingConfiguration(sequence, sequence, ByteBuffer.allocate(0));
  }

  private DoorHeartbeatReply confirmation(long sequence) {
    return TestMessages.reply("core", now, 0, sequence);
  }
}
