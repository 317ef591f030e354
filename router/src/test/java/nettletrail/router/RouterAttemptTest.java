package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Attempts and retries at backends, and what their responses lead to; one rule a test. */
@Timeout(30)
class RouterAttemptTest {
  private static final String KEY = RouterFixture.KEY;
  private RouterFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new RouterFixture(RouterFixture.configuration());
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  @Test
  void aNonIdempotentRequestIsNotRetriedAfterItWasWritten() throws Exception {
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received request = first.nextRequest();
    ScriptedBackend second = fixture.backend("b2");
    request.reset();
    assertEquals(502, client.read().status());
    assertEquals(0, first.pendingRequests() + second.pendingRequests());
  }

  @Test
  void anIdempotentRequestIsRetriedAtAnotherBackend() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/again/x", "id-1", "body", KEY);
    ScriptedBackend.Received request = first.nextRequest();
    ScriptedBackend second = fixture.backend("b2");
    request.reset();
    ScriptedBackend.Received retry = second.nextRequest();
    assertEquals("b2", retry.header("X-Deliver-To"));
    assertEquals("id-1", retry.id());
    assertEquals("body", retry.body);
    retry.respond("200 OK", "fine");
    assertEquals("fine", client.read().body());
  }

  @Test
  void anIdempotentRequestIsNotRetriedWithoutBudget() throws Exception {
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/again/x", "id-1", "", KEY);
    ScriptedBackend.Received request = first.nextRequest();
    ScriptedBackend second = fixture.backend("b2");
    request.reset();
    assertEquals(502, client.read().status());
    assertEquals(0, second.pendingRequests());
  }

  @Test
  void aRequestThatABackendDidNotRunIsRetriedAtAnother() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received request = first.nextRequest();
    ScriptedBackend second = fixture.backend("b2");
    request.notRun("503 Service Unavailable");
    second.nextRequest().respond("200 OK", "ran");
    assertEquals("ran", client.read().body());
  }

  @Test
  void aRequestThatNoBackendRanGets503AndItsQuotaIsRefunded() throws Exception {
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    first.nextRequest().notRun("421 Misdirected Request");
    TestClient.Response response = client.read();
    assertEquals(503, response.status());
    assertNotNull(response.header("Retry-After"));
    assertEquals(0L, fixture.onLoop(() -> fixture.control.acquired));
  }

  @Test
  void aBackendsServerErrorIsForwardedUnchanged() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/again/x", "id-1", "", KEY);
    backend.nextRequest().respond("500 Internal Server Error", "broken");
    TestClient.Response response = client.read();
    assertEquals(500, response.status());
    assertEquals("broken", response.body());
    assertEquals("seal-id-1", response.header("X-Backend-Seal"));
  }

  @Test
  void aSuccessWithoutSealOrIdIsInvalid() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    backend
        .nextRequest()
        .write("HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nContent-Length: 2\r\n\r\nno");
    assertEquals(502, client.read().status());
    client.post("/once/x", "id-2", "", KEY);
    backend
        .nextRequest()
        .write("HTTP/1.1 200 OK\r\nX-Backend-Seal: s\r\nContent-Length: 2\r\n\r\nno");
    assertEquals(502, client.read().status());
  }

  @Test
  void anUnsealedStatusThatMeansNotRunIsNotForwarded() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    backend
        .nextRequest()
        .write("HTTP/1.1 503 No\r\nX-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n");
    assertEquals(502, client.read().status());
  }

  @Test
  void aSurplusResponseIsNotTakenForTheNextRequests() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    backend.nextRequest().respond("200 OK", "one");
    assertEquals("one", client.read().body());
    client.post("/once/x", "id-2", "", KEY);
    ScriptedBackend.Received second = backend.nextRequest();
    assertEquals(1, second.connection, "the connection is used again");
    second.write(
        "HTTP/1.1 200 OK\r\nX-Backend-Seal: seal-id-1\r\nX-Attempt-Id: id-1\r\n"
            + "Content-Length: 7\r\n\r\nsurplus");
    second.respond("200 OK", "two");
    assertEquals("two", client.read().body());
  }

  @Test
  void aConnectionWithSurplusBytesIsNotReused() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received first = backend.nextRequest();
    first.respond("200 OK", "one");
    first.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assertEquals("one", client.read().body());
    assertTrue(first.closedByPeer());
    client.post("/once/x", "id-2", "", KEY);
    ScriptedBackend.Received second = backend.nextRequest();
    assertEquals(2, second.connection);
    second.respond("200 OK", "two");
    assertEquals("two", client.read().body());
  }

  @Test
  void atTheDeadlineASentRequestGets504AndTheBackendsConnectionIsClosed() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY, "X-Time-Left: 150");
    ScriptedBackend.Received request = backend.nextRequest();
    assertEquals(504, client.read().status());
    assertTrue(request.closedByPeer());
  }

  @Test
  void theRoutesTimeoutAppliesIfTheClientWouldWaitLonger() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/short/x", "id-1", "", KEY, "X-Time-Left: 60000");
    backend.nextRequest();
    assertEquals(504, client.read().status());
  }

  @Test
  void aBackendThatIsNoLongerReadyGetsNoRequest() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    fixture.onLoop(() -> fixture.control.tokens = 0);
    TestClient client = fixture.client();
    var keysRead = fixture.latchOnKeysConfirmedRead(2);
    client.post("/once/x", "id-1", "", KEY);
    keysRead.await();
    ScriptedBackend other = new ScriptedBackend("b2");
    fixture.backends("s", List.of(other.endpoint()));
    fixture.onLoop(
        () -> {
          fixture.control.tokens = 1_000;
          fixture.router.quotaGranted(List.of("tenant-1"));
          return null;
        });
    other.nextRequest().respond("200 OK", "");
    assertEquals(200, client.read().status());
    assertEquals(0, backend.pendingRequests());
    other.close();
  }

  @Test
  void aConnectFailureCostsNoRetryBudget() throws Exception {
    Socket reserved = new Socket(); // bound and not listening: no other process can get its port
    reserved.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    BackendEndpoint dead =
        new BackendEndpoint(
            "b0", (InetSocketAddress) reserved.getLocalSocketAddress(), "zone-a", 4, 0);
    ScriptedBackend backend = new ScriptedBackend("b1");
    fixture.backends("s", List.of(dead, backend.endpoint()));
    TestClient client = fixture.client();
    for (int i = 0; i < 6; i++) {
      client.post("/once/x", "id-" + i, "", KEY);
      backend.nextRequest().respond("200 OK", "");
      assertEquals(200, client.read().status());
    }
    backend.close();
    reserved.close();
  }

  @Test
  void afterAStartARequestWaitsForTheFirstBackend() throws Exception {
    TestClient client = fixture.client();
    var keysRead = fixture.latchOnKeysConfirmedRead(1);
    client.post("/once/x", "id-1", "", KEY);
    keysRead.await();
    ScriptedBackend backend = fixture.backend("b1");
    backend.nextRequest().respond("200 OK", "");
    assertEquals(200, client.read().status());
  }

  @Test
  void aConnectionIsNotReusedAfterItsKeepAliveTimeout() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    backend.nextRequest().respond("200 OK", "", "Keep-Alive: timeout=0");
    assertEquals(200, client.read().status());
    client.post("/once/x", "id-2", "", KEY);
    ScriptedBackend.Received second = backend.nextRequest();
    assertEquals(2, second.connection);
    second.respond("200 OK", "", "Keep-Alive: timeout=60");
    assertEquals(200, client.read().status());
    client.post("/once/x", "id-3", "", KEY);
    ScriptedBackend.Received third = backend.nextRequest();
    assertEquals(2, third.connection);
    third.respond("200 OK", "", "Connection: close");
    assertEquals(200, client.read().status());
    client.post("/once/x", "id-4", "", KEY);
    ScriptedBackend.Received fourth = backend.nextRequest();
    assertEquals(3, fourth.connection);
    fourth.respond("200 OK", "");
    assertEquals(200, client.read().status());
  }

  @Test
  void aQueuedRequestWhoseRouteIsRemovedIsNotSent() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    fixture.onLoop(() -> fixture.control.tokens = 0);
    TestClient client = fixture.client();
    var keysRead = fixture.latchOnKeysConfirmedRead(2);
    client.post("/once/x", "id-1", "", KEY);
    keysRead.await();
    String without = RouterFixture.configuration(6, "\"key-1\"").replace("/once/", "/elsewhere/");
    fixture.onLoop(
        () -> {
          fixture.control.routing = RouterFixture.table(without);
          fixture.control.tokens = 10_000;
          fixture.router.routingChanged();
          return null;
        });
    assertEquals(404, client.read().status());
    assertEquals(0, backend.pendingRequests());
  }

  @Test
  void aBackendRemovedDirectlyBeforeTheFirstByteGetsNothing() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    ScriptedBackend other = new ScriptedBackend("b2");
    var asks = new AtomicInteger();
    fixture.onLoop(
        () -> {
          fixture.control.onKeysConfirmedRead =
              () -> {
                if (asks.incrementAndGet()
                    == 3) { // at arrival, in the queue, before the first byte
                  fixture.control.backends.put("s", List.of(other.endpoint()));
                  fixture.router.backendsChanged("s");
                }
              };
          return null;
        });
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    other.nextRequest().respond("200 OK", "");
    assertEquals(200, client.read().status());
    assertEquals(0, backend.pendingRequests());
    other.close();
  }

  @Test
  void onAReusedConnectionOnlyAResponseWithTheIdProvesThatARequestHasNotRun() throws Exception {
    fixture.earnRetries();
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    backend.nextRequest().respond("200 OK", "");
    assertEquals(200, client.read().status());
    ScriptedBackend other = fixture.backend("b2");
    fixture.backends("s", List.of(backend.endpoint()));
    client.post("/once/x", "id-2", "", KEY);
    ScriptedBackend.Received second = backend.nextRequest();
    fixture.backends("s", List.of(backend.endpoint(), other.endpoint()));
    second.write("HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    assertEquals(502, client.read().status());
    assertEquals(0, other.pendingRequests());
  }

  @Test
  void onAReusedConnectionAnErrorWithoutAnIdMayBelongToAnEarlierRequest() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    backend.nextRequest().respond("200 OK", "");
    assertEquals(200, client.read().status());
    client.post("/once/x", "id-2", "", KEY);
    ScriptedBackend.Received second = backend.nextRequest();
    assertEquals(1, second.connection);
    second.write("HTTP/1.1 500 No\r\nX-Backend-Seal: s\r\nContent-Length: 5\r\n\r\nother");
    TestClient.Response response = client.read();
    assertEquals(502, response.status());
    assertNull(response.header("X-Backend-Seal"));
  }

  @Test
  void aRequestThatMayHaveRunIsNotRetriedOnceItsRouteForbidsIt() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/again/x", "id-1", "", KEY);
    ScriptedBackend.Received request = first.nextRequest();
    ScriptedBackend second = fixture.backend("b2");
    String stricter =
        RouterFixture.configuration(6, "\"key-1\"").replace("resendable", "single_send");
    fixture.onLoop(() -> fixture.control.routing = RouterFixture.table(stricter));
    request.reset();
    assertEquals(502, client.read().status());
    assertEquals(0, second.pendingRequests());
  }

  @Test
  void theRoutesAttemptsLimitTheBackendsThatAreTried() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/again/x", "id-1", "", KEY);
    ScriptedBackend.Received request = first.nextRequest();
    ScriptedBackend second = fixture.backend("b2");
    request.reset();
    ScriptedBackend.Received retry = second.nextRequest();
    ScriptedBackend third = fixture.backend("b3");
    retry.reset();
    assertEquals(502, client.read().status());
    assertEquals(0, first.pendingRequests() + second.pendingRequests() + third.pendingRequests());
  }

  @Test
  void aRequestIsNotSentAfterItsDeadline() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    fixture.onLoop(
        () -> {
          fixture.control.onKeysConfirmedRead = RouterAttemptTest::blockUntilAfterTheDeadline;
          return null;
        });
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY, "X-Time-Left: 30");
    assertEquals(503, client.read().status());
    assertEquals(0, backend.pendingRequests());
  }

  /** Blocks the router's loop, so that no timer runs before the request is to be sent. */
  private static void blockUntilAfterTheDeadline() {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(40);
    while (System.nanoTime() - end < 0) {
      Thread.onSpinWait();
    }
  }
}
