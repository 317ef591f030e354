package nettletrail.control.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import nettletrail.control.TestMessages;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import nettletrail.protocol.DoorHeartbeat;
import nettletrail.protocol.DoorHeartbeatReply;
import nettletrail.protocol.FeedAck;
import nettletrail.protocol.FeedEvents;
import nettletrail.protocol.FeedSnapshot;
import org.apache.avro.specific.SpecificRecord;
import org.junit.jupiter.api.Test;

/** The feed and the confirmations of one core process. */
class DoorControlTest {
  private static final long MILLIS = 1_000_000L;
  private static final String CORE = "core";
  private static final long FEED = 7;
  private static final long REVOKE_MS = 5_000;
  private static final long IN_FORCE_MS = 2_000;

  private long now = 20_000 * MILLIS;
  private final DoorControl control =
      new DoorControl(
          new DoorControlSettings("door", "zone", 1, REVOKE_MS, IN_FORCE_MS, List.of(CORE)), now);

  DoorControlTest() {
    control.tick(now);
    control.linkUp(CORE, now);
  }

  @Test
  void eventsThatLeaveAGapAreDroppedAndTheOffsetIsReported() {
    receive(new FeedSnapshot(CORE, FEED, 5L, List.of(backend("a"))));
    List<SpecificRecord> sent = receive(events(6, 7, "c"));
    assertTrue(sent.stream().noneMatch(FeedAck.class::isInstance));
    assertEquals(List.of("a"), ids());
    assertEquals(5, nextHeartbeat().getFeedOffset());
    receive(events(5, 7, "b", "c"));
    assertEquals(List.of("a", "b", "c"), ids());
    assertEquals(7, nextHeartbeat().getFeedOffset());
  }

  @Test
  void eventsOfAnotherFeedAreDropped() {
    receive(new FeedSnapshot(CORE, FEED, 5L, List.of(backend("a"))));
    receive(new FeedEvents(CORE, FEED + 1, 5L, 6L, List.of(backend("b")), List.of("a")));
    assertEquals(List.of("a"), ids());
    assertEquals(FEED, nextHeartbeat().getFeed());
  }

  @Test
  void messageThatArrivesAfterItsLinkIsDownIsDropped() {
    receive(new FeedSnapshot(CORE, FEED, 5L, List.of(backend("a"))));
    control.linkDown(CORE, now);
    assertEquals(List.of(), receive(new FeedSnapshot(CORE, FEED, 6L, List.of(backend("b")))));
    receive(events(5, 6, "c"));
    assertEquals(List.of("a"), ids());
    control.linkUp(CORE, now);
    assertEquals(5, nextHeartbeat().getFeedOffset());
  }

  @Test
  void confirmationOfANewerSequenceCountsOnceThatIsReached() {
    receive(TestMessages.configuration(3L));
    receive(confirmation(5, 0, now));
    assertFalse(control.areKeysValid(now));
    receive(TestMessages.configuration(4L));
    assertFalse(control.areKeysValid(now));
    receive(TestMessages.configuration(5L));
    assertTrue(control.areKeysValid(now));
  }

  @Test
  void confirmationOfANewerSequenceDoesNotExtendTheLease() {
    receive(TestMessages.configuration(3L));
    receive(confirmation(3, 0, now));
    now += 4_000 * MILLIS;
    receive(confirmation(4, 0, now));
    now += 1_000 * MILLIS;
    assertFalse(control.areKeysValid(now));
  }

  @Test
  void oldConfirmationCountsFromItsInstant() {
    receive(TestMessages.configuration(3L));
    long sentAt = now;
    now += 300 * MILLIS;
    receive(confirmation(3, 2_000, sentAt));
    now = sentAt + (REVOKE_MS - 2_000 - 200) * MILLIS;
    assertTrue(control.areKeysValid(now));
    now += 200 * MILLIS;
    assertFalse(control.areKeysValid(now));
  }

  private DoorHeartbeatReply confirmation(long sequence, long ageMs, long sentAt) {
    return TestMessages.reply(CORE, sentAt, ageMs, sequence);
  }

  private static FeedEvents events(long from, long upTo, String... ids) {
    List<Backend> backends = new ArrayList<>();
    for (String id : ids) {
      backends.add(backend(id));
    }
    return new FeedEvents(CORE, FEED, from, upTo, backends, List.of());
  }

  private List<SpecificRecord> receive(SpecificRecord message) {
    return sent(control.received(CORE, message, now));
  }

  private DoorHeartbeat nextHeartbeat() {
    now += 1_000 * MILLIS;
    return sent(control.tick(now)).stream()
        .filter(DoorHeartbeat.class::isInstance)
        .map(DoorHeartbeat.class::cast)
        .findFirst()
        .orElseThrow();
  }

  private static List<SpecificRecord> sent(List<DoorAction> actions) {
    List<SpecificRecord> sent = new ArrayList<>();
    for (DoorAction action : actions) {
      if (action instanceof DoorAction.SendToCore send) {
        sent.add(send.message());
      }
    }
    return sent;
  }

  private List<String> ids() {
    return control.backends("lm").stream().map(Backend::getId).sorted().toList();
  }

  private static Backend backend(String id) {
    return new Backend(
        id, "lm", "10.0.0.1:80", "zone", "v1", 8, BackendState.READY, 0L, "", List.of("m"), 1L);
  }
}
