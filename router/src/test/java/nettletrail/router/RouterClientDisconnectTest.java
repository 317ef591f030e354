package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Requests whose client has closed its connection; one rule a test. The routes' timeout is longer
 * than any test waits, so that it doesn't close a backend's connection.
 */
@Timeout(30)
class RouterClientDisconnectTest {
  private static final String KEY = RouterFixture.KEY;
  private static final String PATIENT = "X-Time-Left: 60000";

  private RouterFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture =
        new RouterFixture(
            RouterFixture.configuration()
                .replace("\"timeout_ms\":5000", "\"timeout_ms\":60000")
                .replace("\"target_ms\":1000", "\"target_ms\":60000"));
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  /** Serves one more request; anything queued before it would have been sent first. */
  private void serveOneMoreRequest(ScriptedBackend... backends) throws Exception {
    TestClient other = fixture.client();
    fixture.backends("s", List.of(backends[0].endpoint()));
    other.post("/once/x", "barrier", "", KEY);
    ScriptedBackend.Received received = backends[0].nextRequest();
    assertEquals("barrier", received.id());
    received.respond("200 OK", "");
    assertEquals(200, other.read().status());
    for (ScriptedBackend backend : backends) {
      assertEquals(0, backend.pendingRequests());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"/once/x", "/again/x", "/stream/x", "/resume/x"})
  void theBackendsConnectionIsClosedWhenTheClientDisconnects(String path) throws Exception {
    fixture.earnRetries();
    ScriptedBackend backend = fixture.backend("b1");
    ScriptedBackend other = fixture.backend("b2");
    fixture.backends("s", List.of(backend.endpoint()));
    TestClient client = fixture.client();
    client.post(path, "id-1", "", KEY, PATIENT);
    ScriptedBackend.Received request = backend.nextRequest();
    fixture.backends("s", List.of(backend.endpoint(), other.endpoint()));
    client.close();
    assertTrue(request.closedByPeer());
    serveOneMoreRequest(backend, other);
  }

  @ParameterizedTest
  @ValueSource(strings = {"/stream/x", "/resume/x"})
  void theBackendsConnectionIsClosedWhenAStreamIsCancelled(String path) throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post(path, "id-1", "", KEY, PATIENT);
    ScriptedBackend.Received request = backend.nextRequest();
    request.beginStream();
    request.event(1, "one");
    client.readHead();
    client.readChunk();
    client.close();
    assertTrue(request.closedByPeer());
  }

  @Test
  void aHalfClosedClientCountsAsDisconnected() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/again/x", "id-1", "", KEY, PATIENT);
    ScriptedBackend.Received request = backend.nextRequest();
    client.endSending();
    assertTrue(request.closedByPeer());
    assertTrue(client.isClosed());
  }

  @Test
  void aRequestQueuedForQuotaIsNotSentAfterItsClientDisconnected() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    fixture.onLoop(() -> fixture.control.tokens = 0);
    TestClient client = fixture.client();
    var keysRead = fixture.latchOnKeysConfirmedRead(2);
    client.post("/again/x", "id-1", "", KEY, PATIENT);
    keysRead.await();
    CountDownLatch left = new CountDownLatch(1);
    Future<?> granted =
        fixture.submit(
            () -> {
              left.await(); // the loop finds the close only by reading the socket
              fixture.control.tokens = 10_000;
              fixture.router.quotaGranted(List.of("tenant-1"));
              return null;
            });
    client.close();
    left.countDown();
    granted.get();
    serveOneMoreRequest(backend);
  }

  @Test
  void aPipelinedRequestIsNotSentAfterItsClientDisconnected() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY, PATIENT);
    ScriptedBackend.Received request = backend.nextRequest();
    client.post("/once/x", "id-2", "", KEY, PATIENT);
    client.close();
    assertTrue(request.closedByPeer());
    serveOneMoreRequest(backend);
  }

  @Test
  void noRetryIsSentAfterTheClientDisconnected() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/again/x", "id-1", "", KEY, PATIENT);
    ScriptedBackend.Received request = first.nextRequest();
    ScriptedBackend second = fixture.backend("b2");
    CountDownLatch both = new CountDownLatch(1);
    Future<?> loopBlocked =
        fixture.submit(
            () -> {
              both.await(); // the loop finds the backend's reset and the client's close together
              return null;
            });
    request.reset();
    client.close();
    both.countDown();
    loopBlocked.get();
    serveOneMoreRequest(second, first);
  }
}
