package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Resolution and admission of requests: routes, keys, quotas; one rule a test. */
@Timeout(30)
class RouterTest {
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
  void aRequestIsForwardedUnchangedWithTheRoutersHeaders() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post(
        "/once/x?q=1",
        "id-1",
        "hello",
        KEY,
        "X-Sender: forged",
        "X-Time-Left: 900",
        "X-Other: 1",
        "X-Deliver-To: forged",
        "Priority: 0",
        "Connection: keep-alive, X-Hop",
        "X-Hop: 1");
    ScriptedBackend.Received request = backend.nextRequest();
    assertEquals("POST /once/x?q=1 HTTP/1.1", request.startLine);
    assertEquals("hello", request.body);
    assertEquals("id-1", request.id());
    assertEquals("a.example", request.header("Host"));
    assertEquals("1", request.header("X-Other"));
    assertEquals("b1", request.header("X-Deliver-To"));
    assertEquals("tenant-1", request.header("X-Sender"));
    assertEquals("3", request.header("Priority"));
    assertNull(request.header("X-Key"), "the key is never shown");
    assertNull(request.header("X-Hop"));
    long left = Long.parseLong(request.header("X-Time-Left"));
    assertTrue(left > 0 && left <= 900, "time left: " + left);
    request.respond("200 OK", "world", "X-Extra: 2");
    TestClient.Response response = client.read();
    assertEquals(200, response.status());
    assertEquals("world", response.body());
    assertEquals("seal-id-1", response.header("X-Backend-Seal"));
    assertEquals("id-1", response.header("X-Attempt-Id"));
    assertEquals("2", response.header("X-Extra"));
  }

  @Test
  void anUnknownRouteGets404AndAnUnknownKey401() throws Exception {
    TestClient client = fixture.client();
    client.post("/nowhere/", "id-1", "", KEY);
    assertEquals(404, client.read().status());
    client.post("/once/x", "id-2", "", "X-Key: unknown");
    assertEquals(401, client.read().status());
    client.post("/once/x", "id-3", "");
    assertEquals(401, client.read().status());
  }

  @Test
  void anOpenRouteNeedsNoKeyAndAForgedSenderIsRemoved() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/open/x", "id-1", "", "X-Sender: forged", "X-Key: unknown");
    ScriptedBackend.Received request = backend.nextRequest();
    assertNull(request.header("X-Sender"));
    assertNull(request.header("X-Key"));
    request.respond("200 OK", "");
    assertEquals(200, client.read().status());
  }

  @Test
  void unconfirmedKeysAreNeitherAcceptedNorRejected() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    fixture.onLoop(() -> fixture.control.confirmed = false);
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    TestClient.Response response = client.read();
    assertEquals(503, response.status());
    assertNotNull(response.header("Retry-After"));
    client.post("/once/x", "id-2", "", "X-Key: unknown");
    assertEquals(503, client.read().status());
    assertEquals(0, backend.pendingRequests());
  }

  @Test
  void aQueuedRequestIsNotSentAfterItsKeyIsRevoked() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    fixture.onLoop(() -> fixture.control.tokens = 0);
    TestClient client = fixture.client();
    var keysRead = fixture.latchOnKeysConfirmedRead(2); // on arrival and in the queue
    client.post("/once/x", "id-1", "", KEY);
    keysRead.await();
    fixture.onLoop(
        () -> {
          fixture.control.routing =
              RouterFixture.table(RouterFixture.configuration(6, "\"key-2\""));
          fixture.control.tokens = 10_000;
          fixture.router.routingChanged();
          return null;
        });
    assertEquals(401, client.read().status());
    assertEquals(0, backend.pendingRequests());
  }

  @Test
  void withoutARoutingTableRequestsGet503AndTheRouterIsNotReady() throws Exception {
    fixture.onLoop(() -> fixture.control.routing = null);
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    TestClient.Response response = client.read();
    assertEquals(503, response.status());
    assertNotNull(response.header("Retry-After"));
    assertFalse(fixture.onLoop(fixture.router::isReady));
  }

  @Test
  void withoutABackendRequestsGet503AndTheirQuotaIsRefunded() throws Exception {
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    TestClient.Response response = client.read();
    assertEquals(503, response.status());
    assertNotNull(response.header("Retry-After"));
    assertEquals(0L, fixture.onLoop(() -> fixture.control.acquired));
  }

  @Test
  void theQuotaIsChargedByTheTokenCountOrThePlainOne() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY, "X-Token-Count: 100,23");
    backend.nextRequest().respond("200 OK", "");
    client.read();
    assertEquals(123L, fixture.onLoop(() -> fixture.control.acquired));
    client.post("/once/x", "id-2", "", KEY);
    backend.nextRequest().respond("200 OK", "");
    client.read();
    assertEquals(323L, fixture.onLoop(() -> fixture.control.acquired));
  }

  @Test
  void aboveTheQuotaRequestsGet429EarlyAndAreNotSent() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    fixture.onLoop(() -> fixture.control.tokens = 100);
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    TestClient.Response response = client.read();
    assertEquals(429, response.status());
    assertNotNull(response.header("Retry-After"));
    assertEquals(0, backend.pendingRequests());
  }

  @Test
  void aQueuedRequestIsSentWhenAGrantArrives() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    fixture.onLoop(() -> fixture.control.tokens = 100);
    TestClient client = fixture.client();
    var keysRead = fixture.latchOnKeysConfirmedRead(2);
    client.post("/once/x", "id-1", "", KEY);
    keysRead.await();
    fixture.onLoop(
        () -> {
          fixture.control.tokens = 1_000;
          fixture.router.quotaGranted(List.of("tenant-1"));
          return null;
        });
    backend.nextRequest().respond("200 OK", "");
    assertEquals(200, client.read().status());
  }

  @Test
  void duringAnOutageRetryAfterIsTheLongestTimeAClientWaits() throws Exception {
    fixture.onLoop(() -> fixture.control.confirmed = false);
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY, "X-Time-Left: 4500");
    assertEquals("1.5", client.read().header("Retry-After"));
  }
}
