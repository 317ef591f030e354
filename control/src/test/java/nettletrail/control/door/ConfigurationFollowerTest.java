package nettletrail.control.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import nettletrail.control.TestMessages;
import nettletrail.protocol.ConfigurationFetch;
import nettletrail.protocol.DoorHeartbeat;
import org.apache.avro.specific.SpecificRecord;
import org.junit.jupiter.api.Test;

/** Which core process pushes configurations to a door, and when the door fetches from another. */
class ConfigurationFollowerTest {
  private static final long MILLIS = 1_000_000L;
  private static final long REVOKE_MS = 60_000;
  private static final long IN_FORCE_MS = 2_500;
  private static final String NEAR_ONE = "10.0.0.1:7680";
  private static final String NEAR_TWO = "10.0.0.2:7680";
  private static final String FAR = "10.0.1.1:7680";
  private static final String FAR_ZONE = "far";
  private static final List<String> CORES = List.of(NEAR_ONE, NEAR_TWO, FAR);

  private final Map<String, Long> sequences = new TreeMap<>();
  private final Map<String, Boolean> sourceFlags = new TreeMap<>();
  private final Map<String, Long> pendingHeartbeats = new TreeMap<>();
  private final List<String> fetches = new ArrayList<>();
  private final List<Long> activated = new ArrayList<>();
  private long now = 5_000 * MILLIS;
  private final DoorControl door =
      new DoorControl(
          new DoorControlSettings("door", TestMessages.ZONE, 1, REVOKE_MS, IN_FORCE_MS, CORES),
          now);

  ConfigurationFollowerTest() {
    CORES.forEach(core -> sequences.put(core, 1L));
    perform(door.tick(now));
    CORES.forEach(core -> perform(door.linkUp(core, now)));
    advance(1_200);
    receive(source(), TestMessages.configuration(1));
    advance(400);
    assertEquals(List.of(1L), activated);
    fetches.clear();
  }

  @Test
  void exactlyOneCoreProcessOfTheOwnZoneIsTheSource() {
    assertEquals(1, sourceFlags.values().stream().filter(flag -> flag).count());
    assertTrue(List.of(NEAR_ONE, NEAR_TWO).contains(source()));
  }

  @Test
  void sourceFailsOverWithinTheZoneAtOnceWhenItsLinkIsLost() {
    String lost = source();
    lose(lost);
    assertEquals(otherNear(lost), source());
  }

  @Test
  void sourceFailsOverToAnotherZoneWhenTheOwnOneIsUnreachable() {
    lose(NEAR_ONE);
    lose(NEAR_TWO);
    assertEquals(FAR, source());
  }

  @Test
  void sourceFailsOverWhenHeartbeatsGoUnanswered() {
    String silent = source();
    sequences.remove(silent);
    advance(2_500);
    assertEquals(otherNear(silent), source());
  }

  @Test
  void newerConfigurationIsFetchedElsewhereWhenTheSourceIsPartitioned() {
    String partitioned = source();
    commitElsewhere(partitioned, 2);
    advance(1_100);
    assertEquals(List.of(0L), fetchedSequences());
    assertFalse(fetches.get(0).startsWith(partitioned));
    receive(lastFetchAddress(), TestMessages.configuration(2));
    assertEquals(List.of(1L, 2L), activated);
    advance(1_000);
    assertFalse(source().equals(partitioned));
    assertEquals(1, fetches.size());
  }

  @Test
  void anotherCoreProcessContinuesWhereTheSourceStopped() {
    String stopped = source();
    commit(2);
    receive(stopped, TestMessages.chunk(2, 3, 0, new byte[] {1, 2}));
    assertEquals(List.of(stopped + " 2+2"), fetches);
    advance(500);
    assertEquals(1, fetches.size());
    advance(300);
    assertEquals(2, fetches.size());
    assertTrue(fetches.get(1).endsWith(" 2+2"));
    assertFalse(lastFetchAddress().equals(stopped));
    receive(lastFetchAddress(), TestMessages.chunk(2, 3, 2, new byte[] {3}));
    assertEquals(List.of(1L, 2L), activated);
  }

  @Test
  void nothingIsFetchedElsewhereWhileChunksArriveSlowly() {
    String slow = source();
    commit(2);
    for (int offset = 0; offset < 20; offset++) {
      receive(slow, TestMessages.chunk(2, 20, offset, new byte[] {1}));
      advance(500);
    }
    assertEquals(List.of(1L, 2L), activated);
    assertTrue(fetches.stream().allMatch(fetch -> fetch.startsWith(slow)));
  }

  @Test
  void unansweredFetchesSpreadOverCoreProcessesAndBackOff() {
    commit(2);
    advance(10_000);
    assertTrue(fetches.size() <= 7, fetches + " in ten seconds");
    assertTrue(fetches.stream().map(fetch -> fetch.split(" ")[0]).distinct().count() == 3);
  }

  @Test
  void chunksOutOfOrderRepeatedOrOfOlderSequencesAreDropped() {
    commit(3);
    String source = source();
    receive(source, TestMessages.chunk(3, 4, 2, new byte[] {9, 9}));
    receive(source, TestMessages.chunk(3, 4, 0, new byte[] {1, 2}));
    receive(source, TestMessages.chunk(3, 4, 0, new byte[] {1, 2}));
    receive(source, TestMessages.chunk(2, 1, 0, new byte[] {7}));
    receive(source, TestMessages.chunk(3, 4, 2, new byte[] {3, 4, 5}));
    assertEquals(List.of(1L), activated);
    receive(source, TestMessages.chunk(3, 4, 2, new byte[] {3, 4}));
    assertEquals(List.of(1L, 3L), activated);
  }

  @Test
  void newSequenceOfTheSameDocumentNeedsNoDocument() {
    commit(2);
    receive(source(), TestMessages.renumbered(2, 1));
    assertEquals(2, door.configurationSequence());
    assertEquals(List.of(1L), activated);
    commit(3);
    receive(source(), TestMessages.renumbered(3, 2));
    assertEquals(2, door.configurationSequence());
  }

  @Test
  void routingStopsOnceANewerConfigurationMayBeActiveElsewhere() {
    commit(2);
    assertTrue(door.isRoutingCurrent(now));
    advance(400);
    long announcedAt = now;
    advance(IN_FORCE_MS - 1_200);
    assertTrue(door.isRoutingCurrent(now));
    now = announcedAt + IN_FORCE_MS * MILLIS;
    assertFalse(door.isRoutingCurrent(now));
    receive(source(), TestMessages.configuration(2));
    assertTrue(door.isRoutingCurrent(now));
  }

  @Test
  void routingContinuesWithoutLinksWhenNothingNewerIsKnown() {
    CORES.forEach(core -> perform(door.linkDown(core, now)));
    now += 30_000 * MILLIS;
    perform(door.tick(now));
    assertTrue(door.isRoutingCurrent(now));
  }

  private void lose(String core) {
    sourceFlags.remove(core);
    perform(door.linkDown(core, now));
  }

  private String source() {
    perform(door.poll(now));
    return sourceFlags.entrySet().stream()
        .filter(Map.Entry::getValue)
        .map(Map.Entry::getKey)
        .findFirst()
        .orElseThrow();
  }

  private static String otherNear(String near) {
    return near.equals(NEAR_ONE) ? NEAR_TWO : NEAR_ONE;
  }

  private String lastFetchAddress() {
    return fetches.get(fetches.size() - 1).split(" ")[0];
  }

  private List<Long> fetchedSequences() {
    return fetches.stream().map(fetch -> Long.parseLong(fetch.split("[ +]")[1])).toList();
  }

  private void commit(long sequence) {
    sequences.replaceAll((core, before) -> sequence);
  }

  private void commitElsewhere(String partitioned, long sequence) {
    sequences.replaceAll((core, before) -> core.equals(partitioned) ? before : sequence);
  }

  /** Advances the clock in ticks; core processes with a sequence reply to heartbeats. */
  private void advance(long millis) {
    for (long elapsed = 0; elapsed < millis; elapsed += 50) {
      now += 50 * MILLIS;
      perform(door.tick(now));
      answerHeartbeats();
    }
  }

  private void answerHeartbeats() {
    Map<String, Long> due = new TreeMap<>(pendingHeartbeats);
    pendingHeartbeats.clear();
    due.forEach(
        (core, sentAt) -> {
          String zone = core.equals(FAR) ? FAR_ZONE : TestMessages.ZONE;
          receive(core, TestMessages.reply(core, zone, sentAt, 0, sequences.get(core)));
        });
  }

  private void receive(String core, SpecificRecord message) {
    perform(door.received(core, message, now));
  }

  private void perform(List<DoorAction> actions) {
    for (DoorAction action : actions) {
      if (action instanceof DoorAction.ConfigurationChanged changed) {
        activated.add(changed.sequence());
      } else if (action instanceof DoorAction.SendToCore send) {
        sent(send.address(), send.message());
      }
    }
  }

  private void sent(String core, SpecificRecord message) {
    if (message instanceof DoorHeartbeat heartbeat) {
      sourceFlags.put(core, heartbeat.getConfigurationSource());
      if (sequences.containsKey(core)) {
        pendingHeartbeats.put(core, now);
      }
    } else if (message instanceof ConfigurationFetch fetch) {
      fetches.add(core + " " + fetch.getSequence() + "+" + fetch.getOffset());
    }
  }
}
