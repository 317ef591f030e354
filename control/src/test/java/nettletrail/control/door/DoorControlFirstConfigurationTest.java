package nettletrail.control.door;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import nettletrail.control.TestMessages;
import nettletrail.protocol.ConfigurationChunk;
import nettletrail.protocol.DoorHeartbeat;
import nettletrail.protocol.DoorHeartbeatReply;
import org.apache.avro.specific.SpecificRecord;
import org.junit.jupiter.api.Test;

/** What a door activates that has just started and reaches a partitioned core process first. */
class DoorControlFirstConfigurationTest {
  private static final long MILLIS = 1_000_000L;
  private static final String PARTITIONED_CORE = "10.0.0.1:7680";
  private static final String CORE = "10.0.0.2:7680";
  private static final long REVOKE_MS = 60_000;
  private static final long IN_FORCE_MS = 2_000;
  private static final long OLD = 7;
  private static final long NEW = 9;
  private static final long FRESH_MS = 200;
  private static final long STALE_MS = 15_000;

  private final List<Long> activated = new ArrayList<>();
  private long now = 5_000 * MILLIS;
  private final DoorControl door =
      new DoorControl(
          new DoorControlSettings(
              "door", "zone", 1, REVOKE_MS, IN_FORCE_MS, List.of(PARTITIONED_CORE, CORE)),
          now);

  DoorControlFirstConfigurationTest() {
    perform(door.tick(now));
    perform(door.linkUp(PARTITIONED_CORE, now));
    perform(door.linkUp(CORE, now));
  }

  @Test
  void configurationOfAPartitionedCoreProcessIsNotActivated() {
    receive(PARTITIONED_CORE, push(OLD));
    receive(PARTITIONED_CORE, confirmation(OLD, STALE_MS));
    assertEquals(List.of(), activated);
    assertEquals(0, door.configurationSequence());
  }

  @Test
  void configurationThatAnotherCoreProcessConfirmsIsActivatedInstead() {
    receive(PARTITIONED_CORE, push(OLD));
    receive(PARTITIONED_CORE, confirmation(OLD, STALE_MS));
    receive(CORE, push(NEW));
    receive(CORE, confirmation(NEW, FRESH_MS));
    receive(PARTITIONED_CORE, push(OLD));
    assertEquals(List.of(NEW), activated);
  }

  @Test
  void confirmationOfANewerSequenceDoesNotActivateTheOlderOne() {
    receive(PARTITIONED_CORE, push(OLD));
    receive(CORE, confirmation(NEW, FRESH_MS));
    assertEquals(List.of(), activated);
    receive(CORE, push(NEW));
    assertEquals(List.of(NEW), activated);
  }

  @Test
  void firstConfigurationIsActivatedAtOnceWhenConfirmed() {
    receive(CORE, push(OLD));
    receive(CORE, confirmation(OLD, FRESH_MS));
    assertEquals(List.of(OLD), activated);
  }

  @Test
  void laterConfigurationsNeedNoConfirmation() {
    receive(CORE, push(OLD));
    receive(CORE, confirmation(OLD, FRESH_MS));
    now += STALE_MS * MILLIS;
    receive(PARTITIONED_CORE, push(NEW));
    receive(CORE, push(OLD));
    assertEquals(List.of(OLD, NEW), activated);
  }

  @Test
  void pendingConfigurationIsActivatedThoughAllLinksAreDown() {
    receive(CORE, push(OLD));
    receive(CORE, confirmation(OLD, FRESH_MS));
    door.configurationActivated(MILLIS, now);
    receive(CORE, push(NEW));
    assertEquals(List.of(OLD), activated);
    perform(door.linkDown(CORE, now));
    perform(door.linkDown(PARTITIONED_CORE, now));
    now += STALE_MS * MILLIS;
    perform(door.tick(now));
    assertEquals(List.of(OLD, NEW), activated);
  }

  @Test
  void sourceGetsHeartbeatsMoreOftenWhileTheFirstConfigurationIsUnconfirmed() {
    receive(PARTITIONED_CORE, confirmation(OLD, STALE_MS));
    perform(door.tick(now));
    receive(PARTITIONED_CORE, push(OLD));
    now += 100 * MILLIS;
    assertEquals(List.of(PARTITIONED_CORE), heartbeatRecipientsAt(now));
    now += 900 * MILLIS;
    assertEquals(List.of(PARTITIONED_CORE, CORE), heartbeatRecipientsAt(now));
  }

  private List<String> heartbeatRecipientsAt(long instant) {
    return door.poll(instant).stream()
        .filter(DoorControlFirstConfigurationTest::isHeartbeat)
        .map(action -> ((DoorAction.SendToCore) action).address())
        .toList();
  }

  private static boolean isHeartbeat(DoorAction action) {
    return action instanceof DoorAction.SendToCore send && send.message() instanceof DoorHeartbeat;
  }

  private void receive(String core, SpecificRecord message) {
    perform(door.received(core, message, now));
  }

  private void perform(List<DoorAction> actions) {
    for (DoorAction action : actions) {
      if (action instanceof DoorAction.ConfigurationChanged changed) {
        activated.add(changed.sequence());
      }
    }
  }

  private static ConfigurationChunk push(long sequence) {
    return TestMessages.configuration(sequence);
  }

  private DoorHeartbeatReply confirmation(long sequence, long ageMs) {
    return TestMessages.reply(CORE, now, ageMs, sequence);
  }
}
