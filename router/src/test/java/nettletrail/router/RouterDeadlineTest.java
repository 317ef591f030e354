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

/** The time left that each attempt carries, and deadlines; one rule a test. */
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

  /** Blocks the thread, so that a request's time passes. */
  private static Void busy() {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BUSY_MS);
    while (System.nanoTime() - end < 0) {
      Thread.onSpinWait();
    }
    return null;
  }

  @Test
  void aRetryCarriesTheTimeLeftAtThatMoment() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/again/x", "id-1", "", KEY, "X-Time-Left: 3000");
    ScriptedBackend.Received request = first.nextRequest();
    long leftAtFirst = timeLeft(request);
    assertTrue(leftAtFirst > 0 && leftAtFirst <= 3000, "first: " + leftAtFirst);
    ScriptedBackend second = fixture.backend("b2");
    fixture.onLoop(RouterDeadlineTest::busy);
    request.reset();
    long leftAtRepeat = timeLeft(second.nextRequest());
    assertTrue(leftAtRepeat > 0 && leftAtRepeat <= leftAtFirst - BUSY_MS, "then: " + leftAtRepeat);
  }

  @Test
  void aResumedStreamCarriesTheTimeLeftAtThatMoment() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/resume/x", "id-1", "", KEY, "X-Time-Left: 3000");
    ScriptedBackend.Received request = first.nextRequest();
    request.beginStream();
    request.event(1, "one");
    client.readHead();
    client.readChunk();
    ScriptedBackend second = fixture.backend("b2");
    fixture.onLoop(RouterDeadlineTest::busy);
    request.reset();
    ScriptedBackend.Received retry = second.nextRequest();
    assertEquals("1", retry.header("Last-Event-Id"));
    long left = timeLeft(retry);
    assertTrue(left > 0 && left <= timeLeft(request) - BUSY_MS, "left: " + left);
  }

  @Test
  void withoutTheClientsTimeLeftTheRoutesTimeoutIsForwarded() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    long left = timeLeft(backend.nextRequest());
    assertTrue(left > 0 && left <= 5000, "left: " + left);
  }

  @Test
  void aLongerTimeoutOfANewRoutingTableDoesNotExtendARequestInProgress() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/again/x", "id-1", "", KEY, PATIENT);
    ScriptedBackend.Received request = first.nextRequest();
    ScriptedBackend second = fixture.backend("b2");
    route(withTimeout(6, 20_000));
    request.reset();
    long left = timeLeft(second.nextRequest());
    assertTrue(left <= timeLeft(request), "left: " + left);
  }

  @Test
  void aShorterTimeoutBeforeTheFirstByteEndsTheRequest() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    route(withTimeout(6, 25_000));
    RoutingTable shorter = withTimeout(7, 400);
    AtomicInteger asks = new AtomicInteger();
    fixture.onLoop(
        (Callable<Void>)
            () -> {
              fixture.control.onKeysConfirmedRead =
                  () -> {
                    if (asks.incrementAndGet()
                        == 2) { // in the queue; the third and last is before the first byte
                      fixture.control.routing = shorter;
                    }
                  };
              return null;
            });
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY, PATIENT);
    ScriptedBackend.Received request = backend.nextRequest();
    assertTrue(timeLeft(request) <= 400, "left: " + timeLeft(request));
    assertEquals(504, client.read().status()); // the client's own timeout is 10 s
    assertTrue(request.closedByPeer());
  }

  @Test
  void aStreamEndsAtItsRoutesTimeout() throws Exception {
    route(withTimeout(6, 500));
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/stream/x", "id-1", "", KEY, PATIENT);
    ScriptedBackend.Received request = backend.nextRequest();
    request.beginStream();
    request.event(1, "one");
    client.readHead();
    client.readChunk();
    assertNull(client.readChunk());
    assertTrue(request.closedByPeer());
  }

  @Test
  void theDeadlineCountsFromTheRequestsHead() throws Exception {
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
    assertEquals(0, backend.pendingRequests());
  }

  @Test
  void aRequestWhoseBodyIsIncompleteAtItsRoutesTimeoutIsAnswered() throws Exception {
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
    assertTrue(client.isClosed());
  }
}
