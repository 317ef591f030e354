package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Connections of clients: framing, limits, order, close; one rule a test. */
@Timeout(30)
class RouterConnectionTest {
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
  void aChunkedBodyIsForwardedCompletely() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.write(
        "POST /once/x HTTP/1.1\r\nHost: A.example:80\r\nX-Attempt-Id: id-1\r\n"
            + KEY
            + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    ScriptedBackend.Received request = backend.nextRequest();
    assertEquals("abcde", request.body);
    request.respond("200 OK", "");
    assertEquals(200, client.read().status());
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < 5; i++) {
      all.append("POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-")
          .append(i)
          .append("\r\n")
          .append(KEY)
          .append("\r\nContent-Length: 0\r\n\r\n");
    }
    client.write(all.toString());
    for (int i = 0; i < 5; i++) {
      ScriptedBackend.Received request = backend.nextRequest();
      assertEquals("id-" + i, request.id());
      request.respond("200 OK", "answer-" + i);
      assertEquals("answer-" + i, client.read().body());
    }
  }

  @Test
  void aRequestWithTwoLengthsIsNotForwarded() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.write(
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\n"
            + KEY
            + "\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    assertEquals(400, client.read().status());
    assertEquals(0, backend.pendingRequests());
  }

  @Test
  void aRequestEndsWhenItsClientDisconnects() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received request = backend.nextRequest();
    client.close();
    assertTrue(request.closedByPeer());
  }

  @Test
  void aDrainingRouterServesRequestsAndThenClosesConnections() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received request = backend.nextRequest();
    var done = new CountDownLatch(1);
    fixture.onLoop(
        () -> {
          fixture.router.drain(2_000, done::countDown);
          return null;
        });
    assertFalse(fixture.onLoop(fixture.router::isReady));
    TestClient late = fixture.client();
    late.post("/once/x", "id-2", "", KEY);
    ScriptedBackend.Received lateRequest = backend.nextRequest();
    request.respond("200 OK", "one");
    TestClient.Response response = client.read();
    assertEquals("one", response.body());
    assertEquals("close", response.header("Connection"));
    assertTrue(client.isClosed());
    lateRequest.respond("200 OK", "two");
    assertEquals("two", late.read().body());
    assertTrue(done.await(5, TimeUnit.SECONDS));
  }

  @Test
  void aRequestAboveTheBufferLimitIsRejectedAndNotSent() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "x".repeat(RouterFixture.MAX_BUFFERED_BYTES + 1), KEY);
    TestClient.Response response = client.read();
    assertEquals(503, response.status());
    assertNotNull(response.header("Retry-After"));
    client.post("/once/x", "id-2", "small", KEY);
    backend.nextRequest().respond("200 OK", "");
    assertEquals(200, client.read().status());
    assertEquals(0, backend.pendingRequests());
  }

  @Test
  void aBodyAboveTheLimitIsRejectedAndTheConnectionCloses() throws Exception {
    TestClient client = fixture.client();
    client.write(
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\n"
            + KEY
            + "\r\nContent-Length: 4194305\r\n\r\n");
    assertEquals(413, client.read().status());
    assertTrue(client.isClosed());
  }

  @Test
  void aClientThatExpectsA100ContinueGetsIt() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.write(
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\n"
            + KEY
            + "\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    assertEquals(100, client.readHead().status());
    client.write("ab");
    ScriptedBackend.Received request = backend.nextRequest();
    assertEquals("ab", request.body);
    assertNull(request.header("Expect"));
    request.respond("200 OK", "");
    assertEquals(200, client.read().status());
  }

  /** The head of a second request, sent while the first one has no response. */
  private ScriptedBackend.Received pipeline(TestClient client, String secondFields)
      throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    String head = "POST /once/x HTTP/1.1\r\nHost: a.example\r\n" + KEY + "\r\n";
    client.write(
        head
            + "X-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n"
            + head
            + "X-Attempt-Id: id-2\r\n"
            + secondFields
            + "\r\n");
    return backend.nextRequest();
  }

  @Test
  void a100ContinueFollowsThePendingResponses() throws Exception {
    TestClient client = fixture.client();
    ScriptedBackend.Received first =
        pipeline(client, "Expect: 100-continue\r\nContent-Length: 2\r\n");
    first.respond("200 OK", "one");
    TestClient.Response response = client.read();
    assertEquals(200, response.status());
    assertEquals("one", response.body());
    assertEquals(100, client.readHead().status());
    ScriptedBackend backend = fixture.backend("b2");
    fixture.backends("s", List.of(backend.endpoint()));
    client.write("ab");
    ScriptedBackend.Received second = backend.nextRequest();
    assertEquals("ab", second.body);
    second.respond("200 OK", "two");
    assertEquals("two", client.read().body());
  }

  @Test
  void a100ContinueIsNotWrittenInsideAStream() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/stream/x", "id-1", "", KEY);
    ScriptedBackend.Received request = backend.nextRequest();
    request.beginStream();
    request.event(1, "one");
    client.readHead();
    assertEquals(ScriptedBackend.eventText(1, "one"), client.readChunk());
    client.write(
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-2\r\n"
            + KEY
            + "\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    request.event(2, "two");
    assertEquals(ScriptedBackend.eventText(2, "two"), client.readChunk());
    request.endStream();
    assertEquals("", client.readChunk());
    assertEquals(100, client.readHead().status());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Expect: 100-continue\r\nContent-Length: 4194305\r\n",
        "Expect: something-else\r\nContent-Length: 2\r\n"
      })
  void aRejectedExpectationIsNotTheResponseToAnEarlierRequest(String fields) throws Exception {
    TestClient client = fixture.client();
    ScriptedBackend.Received first = pipeline(client, fields);
    first.respond("200 OK", "one");
    TestClient.Response response = client.read();
    assertEquals(200, response.status());
    assertEquals("one", response.body());
    assertTrue(client.isClosed());
  }

  @Test
  void bytesAfterARejectedExpectationAreNotARequest() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    String hidden =
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: hidden\r\n"
            + KEY
            + "\r\nContent-Length: 0\r\n\r\n";
    client.write(
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\n"
            + KEY
            + "\r\nExpect: 100-continue\r\nContent-Length: 4194305\r\n\r\n"
            + hidden);
    assertEquals(413, client.read().status());
    assertTrue(client.isClosed());
    assertEquals(0, backend.pendingRequests());
  }

  @Test
  void anHttp10ConnectionClosesAfterItsResponse() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.write(
        "POST /stream/x HTTP/1.0\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\n"
            + KEY
            + "\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n");
    ScriptedBackend.Received request = backend.nextRequest();
    request.beginStream();
    request.event(1, "one");
    request.endStream();
    TestClient.Response response = client.read();
    assertEquals(ScriptedBackend.eventText(1, "one"), response.body());
    assertNull(response.header("Transfer-Encoding"));
    assertEquals("close", response.header("Connection"));
    assertTrue(client.isClosed());
  }

  @Test
  void anIdleConnectionIsClosedUnlessARequestIsUnread() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    backend.nextRequest().respond("200 OK", "");
    assertEquals(200, client.read().status());
    long later = System.nanoTime() + TimeUnit.SECONDS.toNanos(16);
    CountDownLatch loopBlocked = new CountDownLatch(1);
    Future<?> sweep =
        fixture.submit(
            () -> {
              loopBlocked.await(); // the loop reads nothing meanwhile
              fixture.router.tick(later);
              return null;
            });
    client.post("/once/x", "id-2", "", KEY);
    loopBlocked.countDown();
    sweep.get();
    backend.nextRequest().respond("200 OK", "two");
    assertEquals("two", client.read().body());
    fixture.onLoop(
        () -> {
          fixture.router.tick(later + TimeUnit.SECONDS.toNanos(16));
          return null;
        });
    assertTrue(client.isClosed());
  }

  @Test
  void anIncompleteRequestGets408() throws Exception {
    TestClient client = fixture.client();
    var keysRead = fixture.latchOnKeysConfirmedRead(1);
    client.post("/once/x", "id-1", "", "X-Key: unknown");
    keysRead.await();
    assertEquals(401, client.read().status());
    client.write("POST /once/x HTTP/1.1\r\nHost: a.");
    long later = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    TestClient.Response response = null;
    while (response == null) { // until the router has read the partial request
      fixture.onLoop(
          () -> {
            fixture.router.tick(later);
            return null;
          });
      response = client.readIfAvailable();
    }
    assertEquals(408, response.status());
  }

  @Test
  void aCloseRequestedByALaterRequestDoesNotTruncateTheEarlierResponse() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    String head =
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\n" + KEY + "\r\nContent-Length: 0\r\n";
    client.write(
        head
            + "X-Attempt-Id: id-1\r\n\r\n"
            + head
            + "X-Attempt-Id: id-2\r\nConnection: close\r\n\r\n");
    backend.nextRequest().respond("200 OK", "one");
    TestClient.Response first = client.read();
    assertEquals("one", first.body());
    assertNull(first.header("Connection"));
    backend.nextRequest().respond("200 OK", "two");
    TestClient.Response second = client.read();
    assertEquals("two", second.body());
    assertEquals("close", second.header("Connection"));
    assertTrue(client.isClosed());
  }

  @Test
  void aBackendsConnectionCoolsDownBetweenTwoRequests() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received first = backend.nextRequest();
    long answered = System.nanoTime();
    first.respond("200 OK", "");
    assertEquals(200, client.read().status());
    client.post("/once/x", "id-2", "", KEY);
    ScriptedBackend.Received second = backend.nextRequest();
    assertEquals(1, second.connection);
    assertTrue(System.nanoTime() - answered >= TimeUnit.MILLISECONDS.toNanos(10));
    second.respond("200 OK", "");
    assertEquals(200, client.read().status());
  }
}
