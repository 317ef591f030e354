package nettletrail.control.registry;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import nettletrail.control.TestMessages;
import nettletrail.protocol.ConfigurationChunk;
import nettletrail.protocol.ConfigurationFetch;
import org.junit.jupiter.api.Test;

/** What a core process pushes to a door while configurations follow each other quickly. */
class ConfigurationPushTest {
  private static final long MILLIS = 1_000_000L;
  private static final long HEARTBEAT_MS = 1_200;
  private static final String DOOR = "door";
  private static final byte[] DOCUMENT = {1};

  private long now = 1_000 * MILLIS;
  private final DoorSessions doors =
      new DoorSessions(new Feed("core", 1), new BackendRegistry(HEARTBEAT_MS, now), now);
  private final List<Long> pushed = new ArrayList<>();
  private final List<ConfigurationChunk> chunks = new ArrayList<>();

  ConfigurationPushTest() {
    doors.linkUp(DOOR, now);
    heartbeat(0);
  }

  @Test
  void givenADoorOfAnotherSourceWhenOneIsCommittedThenItIsOnlySentWhenAsked() {
    doors.heartbeat(DOOR, TestMessages.heartbeat(DOOR, now, 0, false), now);
    commit(1);
    assertEquals(List.of(), pushed);
    take(doors.fetched(DOOR, new ConfigurationFetch(DOOR, 0L, 0), now));
    assertEquals(List.of(1L), pushed);
  }

  @Test
  void givenOneOnItsWayWhenManyFollowThenOnlyTheNewestIsPushedAfterTheDoorHasRead() {
    for (long sequence = 1; sequence <= 20; sequence++) {
      commit(sequence);
    }
    assertEquals(List.of(1L), pushed);
    heartbeat(1);
    assertEquals(List.of(1L, 20L), pushed);
  }

  @Test
  void givenAPushWithoutAnAcknowledgementWhenTimePassesThenNothingIsSentAgainUntilTheDoorAsks() {
    commit(1);
    commit(2);
    now += 60_000 * MILLIS;
    push();
    heartbeat(0);
    assertEquals(List.of(1L), pushed);
    take(doors.fetched(DOOR, new ConfigurationFetch(DOOR, 0L, 0), now));
    assertEquals(List.of(1L, 2L), pushed);
  }

  @Test
  void givenAChangeOfTheGroupOnlyWhenTheDoorHoldsTheDocumentThenOnlyItsSequenceIsSent() {
    commit(1);
    heartbeat(1);
    doors.configuration(2, 1, ByteBuffer.wrap(DOCUMENT));
    push();
    assertEquals(List.of(1L, 2L), pushed);
    assertEquals(0, chunks.get(1).getSize());
    assertEquals(DOCUMENT.length, chunks.get(0).getSize());
  }

  @Test
  void givenALongDocumentWhenPiecesAreAskedForThenTheyMakeItUpWhileNewerOnesFollow() {
    byte[] document = new byte[3 * ConfigurationSender.CHUNK_BYTES + 7];
    new SplittableRandom(1).nextBytes(document);
    doors.configuration(1, 1, ByteBuffer.wrap(document));
    push();
    commit(2);
    ByteBuffer complete = ByteBuffer.allocate(document.length);
    while (complete.hasRemaining()) {
      ConfigurationChunk last = chunks.get(chunks.size() - 1);
      assertEquals(complete.position(), last.getOffset());
      complete.put(last.getContent().duplicate());
      take(doors.fetched(DOOR, new ConfigurationFetch(DOOR, 1L, complete.position()), now));
    }
    assertArrayEquals(document, complete.array());
  }

  @Test
  void givenAFetchBeyondTheEndOrOfSomethingForgottenWhenItComesThenTheNewestBegins() {
    commit(1);
    take(doors.fetched(DOOR, new ConfigurationFetch(DOOR, 1L, 1_000_000), now));
    take(doors.fetched(DOOR, new ConfigurationFetch(DOOR, 1L, -5), now));
    take(doors.fetched(DOOR, new ConfigurationFetch(DOOR, 99L, 7), now));
    assertEquals(List.of(1L, 1L, 1L, 1L), pushed);
    assertEquals(0, chunks.get(3).getOffset());
  }

  @Test
  void givenADoorThatHasReadElsewhereWhenAnotherIsCommittedThenItIsPushedAtOnce() {
    commit(1);
    heartbeat(3);
    commit(4);
    assertEquals(List.of(1L, 4L), pushed);
  }

  @Test
  void givenOneOnItsWayWhenTheLinkIsNewThenTheNewestIsPushedAfterTheFirstHeartbeat() {
    commit(1);
    commit(2);
    doors.linkDown(DOOR, now);
    doors.linkUp(DOOR, now);
    heartbeat(0);
    assertEquals(List.of(1L, 2L), pushed);
  }

  private void commit(long sequence) {
    doors.configuration(sequence, sequence, ByteBuffer.wrap(DOCUMENT));
    push();
  }

  private void heartbeat(long heldSequence) {
    doors.heartbeat(DOOR, TestMessages.heartbeat(DOOR, now, heldSequence, true), now);
    push();
  }

  private void push() {
    take(doors.push(now));
  }

  private void take(List<RegistryAction> actions) {
    for (RegistryAction action : actions) {
      if (action instanceof RegistryAction.SendToDoor send
          && send.message() instanceof ConfigurationChunk chunk) {
        pushed.add(chunk.getSequence());
        chunks.add(chunk);
      }
    }
  }
}
