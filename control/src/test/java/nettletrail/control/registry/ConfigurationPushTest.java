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

/**
 * Which configurations a core process sends to a door while they are committed in quick succession.
 */
class ConfigurationPushTest {
  private static final long MILLIS = 1_000_000L;
  private static final long HEARTBEAT_MS = 1_200;
  private static final String DOOR = "door";
  private static final byte[] DOCUMENT = {1};

  private long now = 1_000 * MILLIS;
  private final DoorSessions doors =
      new DoorSessions(new Feed("core", 1), new BackendRegistry(HEARTBEAT_MS, now), now);
  private final List<Long> sentSequences = new ArrayList<>();
  private final List<ConfigurationChunk> chunks = new ArrayList<>();

  ConfigurationPushTest() {
    doors.linkUp(DOOR, now);
    heartbeat(0);
  }

  @Test
  void configurationIsSentOnRequestOnlyToADoorOfAnotherSource() {
    doors.heartbeat(DOOR, TestMessages.heartbeat(DOOR, now, 0, false), now);
    commit(1);
    assertEquals(List.of(), sentSequences);
    record(doors.fetchConfiguration(DOOR, new ConfigurationFetch(DOOR, 0L, 0), now));
    assertEquals(List.of(1L), sentSequences);
  }

  @Test
  void onlyTheNewestIsSentOnceTheDoorHasTheOneInFlight() {
    for (long sequence = 1; sequence <= 20; sequence++) {
      commit(sequence);
    }
    assertEquals(List.of(1L), sentSequences);
    heartbeat(1);
    assertEquals(List.of(1L, 20L), sentSequences);
  }

  @Test
  void unacknowledgedConfigurationIsNotRetriedUntilTheDoorRequestsIt() {
    commit(1);
    commit(2);
    now += 60_000 * MILLIS;
    push();
    heartbeat(0);
    assertEquals(List.of(1L), sentSequences);
    record(doors.fetchConfiguration(DOOR, new ConfigurationFetch(DOOR, 0L, 0), now));
    assertEquals(List.of(1L, 2L), sentSequences);
  }

  @Test
  void onlyTheSequenceIsSentToADoorThatHasTheDocument() {
    commit(1);
    heartbeat(1);
    doors.configurationCommitted(2, 1, ByteBuffer.wrap(DOCUMENT));
    push();
    assertEquals(List.of(1L, 2L), sentSequences);
    assertEquals(0, chunks.get(1).getSize());
    assertEquals(DOCUMENT.length, chunks.get(0).getSize());
  }

  @Test
  void chunksOfALongDocumentCanBeFetchedWhileNewerOnesFollow() {
    byte[] document = new byte[3 * ConfigurationSender.CHUNK_BYTES + 7];
    new SplittableRandom(1).nextBytes(document);
    doors.configurationCommitted(1, 1, ByteBuffer.wrap(document));
    push();
    commit(2);
    ByteBuffer complete = ByteBuffer.allocate(document.length);
    while (complete.hasRemaining()) {
      ConfigurationChunk last = chunks.get(chunks.size() - 1);
      assertEquals(complete.position(), last.getOffset());
      complete.put(last.getContent().duplicate());
      record(
          doors.fetchConfiguration(
              DOOR, new ConfigurationFetch(DOOR, 1L, complete.position()), now));
    }
    assertArrayEquals(document, complete.array());
  }

  @Test
  void fetchOfAnUnavailableChunkIsAnsweredWithTheFirstChunkOfTheNewest() {
    commit(1);
    record(doors.fetchConfiguration(DOOR, new ConfigurationFetch(DOOR, 1L, 1_000_000), now));
    record(doors.fetchConfiguration(DOOR, new ConfigurationFetch(DOOR, 1L, -5), now));
    record(doors.fetchConfiguration(DOOR, new ConfigurationFetch(DOOR, 99L, 7), now));
    assertEquals(List.of(1L, 1L, 1L, 1L), sentSequences);
    assertEquals(0, chunks.get(3).getOffset());
  }

  @Test
  void nextConfigurationIsSentAtOnceToADoorThatGotANewerOneElsewhere() {
    commit(1);
    heartbeat(3);
    commit(4);
    assertEquals(List.of(1L, 4L), sentSequences);
  }

  @Test
  void newestIsSentAfterTheFirstHeartbeatOnANewLink() {
    commit(1);
    commit(2);
    doors.linkDown(DOOR, now);
    doors.linkUp(DOOR, now);
    heartbeat(0);
    assertEquals(List.of(1L, 2L), sentSequences);
  }

  private void commit(long sequence) {
    doors.configurationCommitted(sequence, sequence, ByteBuffer.wrap(DOCUMENT));
    push();
  }

  private void heartbeat(long doorSequence) {
    doors.heartbeat(DOOR, TestMessages.heartbeat(DOOR, now, doorSequence, true), now);
    push();
  }

  private void push() {
    record(doors.push(now));
  }

  private void record(List<RegistryAction> actions) {
    for (RegistryAction action : actions) {
      if (action instanceof RegistryAction.SendToDoor send
          && send.message() instanceof ConfigurationChunk chunk) {
        sentSequences.add(chunk.getSequence());
        chunks.add(chunk);
      }
    }
  }
}
