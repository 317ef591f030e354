package nettletrail.control.door;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import nettletrail.protocol.RegistryUpdate;
import org.junit.jupiter.api.Test;

/** Which deregistrations a door sends to core processes whose feeds lack them. */
class DeregistrationHandoffTest {
  private static final long MILLIS = 1_000_000L;
  private static final long INTERVAL = 500 * MILLIS;
  private static final String ONE = "10.0.0.1:7680";
  private static final String TWO = "10.0.0.2:7680";
  private static final Backend READY = backend(BackendState.READY, 1);
  private static final Backend CLOSING = backend(BackendState.CLOSING, 2);

  private final BackendView view = new BackendView();
  private long now = 5_000 * MILLIS;
  private final DeregistrationHandoff handoff = new DeregistrationHandoff("door", view, now);

  DeregistrationHandoffTest() {
    view.feedLive(ONE, now);
    view.feedLive(TWO, now);
    view.update(ONE, READY, now);
    view.update(TWO, READY, now);
  }

  @Test
  void readyBackendsAreNotSent() {
    assertEquals(List.of(), pollAfter(2 * INTERVAL));
  }

  @Test
  void deregistrationIsSentToTheCoreProcessThatLacksIt() {
    view.update(ONE, CLOSING, now);
    RegistryUpdate update = new RegistryUpdate("door", 0L, List.of(CLOSING));
    assertEquals(List.of(new DoorAction.SendToCore(TWO, update)), pollAfter(INTERVAL + 1));
  }

  @Test
  void deregistrationIsNotSentWhileCoreProcessesMayStillReplicateIt() {
    view.update(ONE, CLOSING, now);
    assertEquals(List.of(), pollAfter(INTERVAL));
  }

  @Test
  void deregistrationIsNotSentOnceEachReportedIt() {
    view.update(ONE, CLOSING, now);
    view.update(TWO, CLOSING, now);
    assertEquals(List.of(), pollAfter(INTERVAL + 1));
  }

  @Test
  void deregistrationIsSentToARestartedCoreProcess() {
    view.update(ONE, CLOSING, now);
    view.update(TWO, CLOSING, now);
    view.restart(TWO, List.of(), now);
    RegistryUpdate update = new RegistryUpdate("door", 0L, List.of(CLOSING));
    assertEquals(List.of(new DoorAction.SendToCore(TWO, update)), pollAfter(INTERVAL + 1));
  }

  @Test
  void nothingIsSentOverALostLinkOrBeforeTheInterval() {
    view.update(ONE, CLOSING, now);
    assertEquals(1, pollAfter(INTERVAL + 1).size());
    assertEquals(List.of(), pollAfter(INTERVAL - 1));
    view.feedLost(TWO);
    assertEquals(List.of(), pollAfter(INTERVAL));
  }

  private List<DoorAction> pollAfter(long nanos) {
    now += nanos;
    return handoff.poll(now);
  }

  private static Backend backend(BackendState state, long callSequence) {
    return new Backend(
        "a", "lm", "10.0.0.9:80", "zone", "v1", 8, state, 0L, "", List.of("m"), callSequence);
  }
}
