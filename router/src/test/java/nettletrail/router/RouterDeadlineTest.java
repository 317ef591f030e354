package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import nettletrail.configuration.RoutingTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What time each send is handed, and when a request is over; one rule a test. */
@Timeout(30)
class RouterDeadlineTest {
  private static final String KEY = RouterFixture.KEY;
  private static final int BUSY_MS = 60;
  private static final String PATIENT = "X-Time-Left: 60000";

  private RouterFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new RouterFixture(RouterFixture.configuration());
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  private static RoutingTable withTimeout(long edition, int timeoutMs) throws Exception {
    String configuration = RouterFixture.configuration(edition, "\"key-1\"");
    return RouterFixture.table(
        configuration.replace("\"timeout_ms\":5000", "\"timeout_ms\":" + timeoutMs));
  }

  private void route(RoutingTable routing) throws Exception {
    fixture.onLoop(
        () -> {
          fixture.control.routing = routing;
          fixture.router.routingChanged();
          return null;
        });
  }

  private static long timeLeft(ScriptedBackend.Received request) {
    return Long.parseLong(request.header("X-Time-Left"));
  }

  /** Keeps the thread busy: time passes that a request has no more. */
  private static Void busy() {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BUSY_MS);
    while (System.nanoTime() - end < 0) {
      Thread.onSpinWait();
    }
    return null;
  }

  @Test
  void aRepeatIsHandedWhatIsLeftThen() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/again/x", "id-1", "", KEY, "X-Time-Left: 3000");
    ScriptedBackend.Received request = first.take();
    long leftAtFirst = timeLeft(request);
    assertTrue(leftAtFirst > 0 && leftAtFirst <= 3000, "first: " + leftAtFirst);
    ScriptedBackend second = fixture.backend("b2");
    fixture.onLoop(RouterDeadlineTest::busy);
    request.reset();
    long leftAtRepeat = timeLeft(second.take());
    assertTrue(leftAtRepeat > 0 && leftAtRepeat <= leftAtFirst - BUSY_MS, "then: " + leftAtRepeat);
  }

  @Test
  void aResumptionIsHandedWhatIsLeftThen() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/resume/x", "id-1", "", KEY, "X-Time-Left: 3000");
    ScriptedBackend.Received request = first.take();
    request.beginStream();
    request.event(1, "one");
    client.readHead();
    client.readChunk();
    ScriptedBackend second = fixture.backend("b2");
    fixture.onLoop(RouterDeadlineTest::busy);
    request.reset();
    ScriptedBackend.Received again = second.take();
    assertEquals("1", again.header("Last-Event-Id"));
    long left = timeLeft(again);
    assertTrue(left > 0 && left <= timeLeft(request) - BUSY_MS, "left: " + left);
  }

  @Test
  void withoutTheClientsTimeTheRoutesTimeoutIsHandedOn() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    long left = timeLeft(backend.take());
    assertTrue(left > 0 && left <= 5000, "left: " + left);
  }

  @Test
  void aLongerTimeoutOfANewRoutingDoesNotProlongARequestInHand() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/again/x", "id-1", "", KEY, PATIENT);
    ScriptedBackend.Received request = first.take();
    ScriptedBackend second = fixture.backend("b2");
    route(withTimeout(6, 20_000));
    request.reset();
    long left = timeLeft(second.take());
    assertTrue(left <= timeLeft(request), "left: " + left);
  }

  @Test
  void aShorterTimeoutThatComesBeforeTheFirstByteEndsTheRequest() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    route(withTimeout(6, 25_000));
    RoutingTable shorter = withTimeout(7, 400);
    AtomicInteger asks = new AtomicInteger();
    fixture.onLoop(
        (Callable<Void>)
            () -> {
              fixture.control.onKeysAsked =
                  () -> {
                    if (asks.incrementAndGet() == 2) { // in the queue; the last look is the third
                      fixture.control.routing = shorter;
                    }
                  };
              return null;
            });
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY, PATIENT);
    ScriptedBackend.Received request = backend.take();
    assertTrue(timeLeft(request) <= 400, "left: " + timeLeft(request));
    assertEquals(504, client.read().status()); // the client's patience is 10 s
    assertTrue(request.closedByPeer());
  }

  @Test
  void aStreamUnderWayEndsAtItsRoutesTimeout() throws Exception {
    route(withTimeout(6, 500));
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/stream/x", "id-1", "", KEY, PATIENT);
    ScriptedBackend.Received request = backend.take();
    request.beginStream();
    request.event(1, "one");
    client.readHead();
    client.readChunk();
    assertNull(client.readChunk());
    assertTrue(request.closedByPeer());
  }

  @Test
  void theTimeOfARequestCountsFromItsHead() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.write(
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\n"
            + KEY
            + "\r\nX-Time-Left: 50\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    assertEquals(100, client.readHead().status());
    fixture.onLoop(RouterDeadlineTest::busy);
    client.write("ab");
    assertEquals(503, client.read().status());
    assertEquals(0, backend.untaken());
  }

  @Test
  void aRequestWhoseBodyIsStillComingAtItsRoutesTimeoutIsAnswered() throws Exception {
    TestClient client = fixture.client();
    client.write(
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\n"
            + KEY
            + "\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    assertEquals(100, client.readHead().status());
    client.write("a");
    long later = System.nanoTime() + TimeUnit.SECONDS.toNanos(6); // idle_ms is 15 s
    fixture.onLoop(
        () -> {
          fixture.router.tick(later);
          return null;
        });
    assertEquals(408, client.read().status());
    assertTrue(client.isEnded());
  }
}
