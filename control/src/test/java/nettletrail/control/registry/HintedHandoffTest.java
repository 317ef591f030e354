package nettletrail.control.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import nettletrail.protocol.RegistryUpdate;
import nettletrail.protocol.RegistryUpdateReply;
import org.junit.jupiter.api.Test;

/** Which hints are stored for a peer, when they are retried and when they are dropped. */
class HintedHandoffTest {
  private static final long MILLIS = 1_000_000L;

  private final AtomicLong lastUpdate = new AtomicLong();
  private final HintedHandoff handoff = new HintedHandoff("self", lastUpdate::incrementAndGet);

  @Test
  void unacknowledgedReportIsRetriedWithExponentialBackoff() {
    handoff.add(backend("b", 1));
    assertEquals(1, handoff.firstAttempt(0).orElseThrow().getUpdate());
    assertTrue(handoff.firstAttempt(1).isEmpty());
    assertTrue(handoff.retry(199 * MILLIS).isEmpty());
    assertEquals(2, handoff.retry(200 * MILLIS).orElseThrow().getUpdate());
    assertTrue(handoff.retry(599 * MILLIS).isEmpty());
    assertEquals(3, handoff.retry(600 * MILLIS).orElseThrow().getUpdate());
    assertTrue(handoff.retry(1_399 * MILLIS).isEmpty());
    handoff.retryNow(1_000 * MILLIS);
    assertEquals(4, handoff.retry(1_000 * MILLIS).orElseThrow().getUpdate());
  }

  @Test
  void acknowledgementOfAnOlderReportDoesNotDropTheNewerOne() {
    handoff.add(backend("b", 1));
    RegistryUpdate first = handoff.firstAttempt(0).orElseThrow();
    handoff.add(backend("b", 2));
    assertTrue(acknowledge(first).isEmpty());
    assertEquals(1, handoff.size());
    RegistryUpdate second = handoff.firstAttempt(1).orElseThrow();
    assertEquals(2, acknowledge(second).get(0).getCallSequence());
    assertEquals(0, handoff.size());
    assertTrue(handoff.retry(10_000 * MILLIS).isEmpty());
  }

  @Test
  void oldestHintsAreDroppedBeyondTheLimit() {
    for (int index = 0; index < 5_000; index++) {
      handoff.add(backend("b" + index, 1));
    }
    assertEquals(4_096, handoff.size());
    RegistryUpdate update = handoff.firstAttempt(0).orElseThrow();
    assertEquals("b904", update.getBackends().get(0).getId());
    assertEquals(256, update.getBackends().size());
  }

  @Test
  void replyToAFormerIncarnationAcknowledgesNothing() {
    handoff.add(backend("b", 1));
    RegistryUpdate former = handoff.firstAttempt(0).orElseThrow();
    HintedHandoff restarted = new HintedHandoff("self", new AtomicLong(1_000_000)::incrementAndGet);
    restarted.add(backend("b", 1));
    RegistryUpdate update = restarted.firstAttempt(1).orElseThrow();
    assertTrue(restarted.acknowledged(reply(former)).isEmpty());
    assertEquals(1, restarted.acknowledged(reply(update)).size());
  }

  private static RegistryUpdateReply reply(RegistryUpdate update) {
    return new RegistryUpdateReply("peer", update.getUpdate());
  }

  private List<Backend> acknowledge(RegistryUpdate update) {
    return handoff.acknowledged(reply(update));
  }

  private static Backend backend(String id, long callSequence) {
    return new Backend(
        id, "s", "a:1", "z", "v", 1, BackendState.READY, 0L, "", List.of(), callSequence);
  }
}
