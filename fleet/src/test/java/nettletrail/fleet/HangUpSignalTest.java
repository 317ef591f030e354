package nettletrail.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import sun.misc.Signal;

class HangUpSignalTest {
  private final HangUpSignal signal = new HangUpSignal();
  private int runs;

  @Test
  void givenSignalsBeforeTheAction_whenItIsSet_thenItRunsOnce() {
    signal.received();
    signal.received();
    signal.onReceived(() -> runs++);
    assertEquals(1, runs);
  }

  @Test
  void givenAnAction_whenSignalsArrive_thenItRunsAtEachOfThem() {
    signal.onReceived(() -> runs++);
    assertEquals(0, runs);
    signal.received();
    signal.received();
    assertEquals(2, runs);
  }

  @Test
  void givenAnInstalledHandler_whenTheProcessGetsTheSignal_thenItLivesAndTheActionRuns()
      throws Exception {
    CountDownLatch received = new CountDownLatch(1);
    signal.install();
    Signal.raise(new Signal("HUP"));
    signal.onReceived(received::countDown);
    assertTrue(received.await(10, TimeUnit.SECONDS));
  }
}
