package nettletrail.control.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import nettletrail.control.TestMessages;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import nettletrail.protocol.FeedEvents;
import org.junit.jupiter.api.Test;

/** When entries of the feed are sent to a door, and in which batches. */
class FeedPushTest {
  private static final long MILLIS = 1_000_000L;
  private static final long HEARTBEAT_MS = 1_200;
  private static final String DOOR = "door";

  private long now = 1_000 * MILLIS;
  private final BackendRegistry registry = new BackendRegistry(HEARTBEAT_MS, now);
  private final Feed feed = new Feed("core", 1);
  private final DoorSessions doors = new DoorSessions(feed, registry, now);
  private final List<Integer> entriesOfEachMessage = new ArrayList<>();

  FeedPushTest() {
    doors.linkUp(DOOR, now);
    doors.heartbeat(DOOR, TestMessages.heartbeat(DOOR, now, 0, false), now);
    push();
    now += 1_000 * MILLIS;
  }

  @Test
  void firstOfManyNewBackendsIsSentAtOnceAndTheOthersInOneBatch() {
    for (int number = 0; number < 20; number++) {
      report("b" + number, BackendState.READY);
      now += MILLIS;
    }
    assertEquals(List.of(1), entriesOfEachMessage);
    now += 100 * MILLIS;
    push();
    assertEquals(List.of(1, 19), entriesOfEachMessage);
  }

  @Test
  void withdrawnBackendIsSentAtOnceWithAllEntriesBeforeIt() {
    report("b1", BackendState.READY);
    report("b2", BackendState.READY);
    report("b1", BackendState.CLOSING);
    assertEquals(List.of(1, 2), entriesOfEachMessage);
    report("b2", BackendState.GONE);
    assertEquals(List.of(1, 2, 1), entriesOfEachMessage);
  }

  @Test
  void withdrawalThatWasNotSentYetDoesNotCountAsSentToAllConnectedDoors() {
    feed.append(backend("b1", BackendState.CLOSING));
    assertFalse(doors.isSentToAllConnected(feed.lastWithdrawalOffset()));
    push();
    assertTrue(doors.isSentToAllConnected(feed.lastWithdrawalOffset()));
  }

  @Test
  void doorIsConnectedFromItsHeartbeatUntilItsLinkIsDown() {
    assertTrue(doors.isAnyConnected());
    doors.linkDown(DOOR, now);
    assertFalse(doors.isAnyConnected());
  }

  private void report(String id, BackendState state) {
    Backend backend = backend(id, state);
    registry.recordCall(backend, now);
    feed.append(backend);
    push();
  }

  private Backend backend(String id, BackendState state) {
    return new Backend(id, "lm", "10.0.0.1:80", "zone", "v1", 8, state, 0L, "", List.of("m"), now);
  }

  private void push() {
    for (RegistryAction action : doors.push(now)) {
      if (action instanceof RegistryAction.SendToDoor send
          && send.message() instanceof FeedEvents events) {
        entriesOfEachMessage.add(events.getBackends().size());
      }
    }
  }
}
