package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A router between a client and backends on loopback: one rule a test. */
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
  void aRequestIsPassedOnUnchangedWithTheSystemsHeaders() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post(
        "/once/x?q=1", "id-1", "hello", KEY, "X-Sender: forged", "X-Time-Left: 900", "X-Other: 1",
        "X-Deliver-To: forged", "Priority: 0", "Connection: keep-alive, X-Hop", "X-Hop: 1");
    ScriptedBackend.Received request = backend.take();
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
    request.answer("200 OK", "world", "X-Extra: 2");
    TestClient.Answer answer = client.read();
    assertEquals(200, answer.status());
    assertEquals("world", answer.body());
    assertEquals("seal-id-1", answer.header("X-Backend-Seal"));
    assertEquals("id-1", answer.header("X-Attempt-Id"));
    assertEquals("2", answer.header("X-Extra"));
  }

  @Test
  void aBodyInChunksIsPassedOnWhole() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.write(
        "POST /once/x HTTP/1.1\r\nHost: A.example:80\r\nX-Attempt-Id: id-1\r\n" + KEY
            + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    ScriptedBackend.Received request = backend.take();
    assertEquals("abcde", request.body);
    request.answer("200 OK", "");
    assertEquals(200, client.read().status());
  }

  @Test
  void withoutARouteItIs404AndWithoutAKeyThatIsKnown401() throws Exception {
    TestClient client = fixture.client();
    client.post("/nowhere/", "id-1", "", KEY);
    assertEquals(404, client.read().status());
    client.post("/once/x", "id-2", "", "X-Key: unknown");
    assertEquals(401, client.read().status());
    client.post("/once/x", "id-3", "");
    assertEquals(401, client.read().status());
  }

  @Test
  void anOpenRouteNeedsNoKeyAndAForgedSenderIsDropped() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/open/x", "id-1", "", "X-Sender: forged", "X-Key: unknown");
    ScriptedBackend.Received request = backend.take();
    assertNull(request.header("X-Sender"));
    assertNull(request.header("X-Key"));
    request.answer("200 OK", "");
    assertEquals(200, client.read().status());
  }

  @Test
  void keysThatAreNotConfirmedAreNeitherUsedNorRefusedFor() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    fixture.onLoop(() -> fixture.control.confirmed = false);
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    TestClient.Answer answer = client.read();
    assertEquals(503, answer.status());
    assertNotNull(answer.header("Retry-After"));
    client.post("/once/x", "id-2", "", "X-Key: unknown");
    assertEquals(503, client.read().status());
    assertEquals(0, backend.untaken());
  }

  @Test
  void aKeyThatIsRevokedWhileItsRequestWaitsSendsNothing() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    fixture.onLoop(() -> fixture.control.tokens = 0);
    TestClient client = fixture.client();
    var asked = fixture.whenKeysAsked(2); // at its arrival and as it is looked at in the queue
    client.post("/once/x", "id-1", "", KEY);
    asked.await();
    fixture.onLoop(
        () -> {
          fixture.control.routing =
              RouterFixture.table(RouterFixture.configuration(6, "\"key-2\""));
          fixture.control.tokens = 10_000;
          fixture.router.routingChanged();
          return null;
        });
    assertEquals(401, client.read().status());
    assertEquals(0, backend.untaken());
  }

  @Test
  void withoutARoutingItIs503AndTheRouterIsNotReady() throws Exception {
    fixture.onLoop(() -> fixture.control.routing = null);
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    TestClient.Answer answer = client.read();
    assertEquals(503, answer.status());
    assertNotNull(answer.header("Retry-After"));
    assertFalse(fixture.onLoop(fixture.router::ready));
  }

  @Test
  void withoutABackendItIs503AndTheQuotaIsGivenBack() throws Exception {
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    TestClient.Answer answer = client.read();
    assertEquals(503, answer.status());
    assertNotNull(answer.header("Retry-After"));
    assertEquals(0L, fixture.onLoop(() -> fixture.control.taken));
  }

  @Test
  void theQuotaIsChargedByTheTokenCountOrThePlainOne() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY, "X-Token-Count: 100,23");
    backend.take().answer("200 OK", "");
    client.read();
    assertEquals(123L, fixture.onLoop(() -> fixture.control.taken));
    client.post("/once/x", "id-2", "", KEY);
    backend.take().answer("200 OK", "");
    client.read();
    assertEquals(323L, fixture.onLoop(() -> fixture.control.taken));
  }

  @Test
  void beyondTheQuotaItIs429SoonAndNothingIsSent() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    fixture.onLoop(() -> fixture.control.tokens = 100);
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    TestClient.Answer answer = client.read();
    assertEquals(429, answer.status());
    assertNotNull(answer.header("Retry-After"));
    assertEquals(0, backend.untaken());
  }

  @Test
  void aGrantThatComesInTimeLetsAWaitingRequestGo() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    fixture.onLoop(() -> fixture.control.tokens = 100);
    TestClient client = fixture.client();
    var asked = fixture.whenKeysAsked(2);
    client.post("/once/x", "id-1", "", KEY);
    asked.await();
    fixture.onLoop(
        () -> {
          fixture.control.tokens = 1_000;
          fixture.router.quotaGranted(List.of("tenant-1"));
          return null;
        });
    backend.take().answer("200 OK", "");
    assertEquals(200, client.read().status());
  }

  @Test
  void aSingleSendThatBreaksOffAfterItWasWrittenIsNotSentAgain() throws Exception {
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received request = first.take();
    ScriptedBackend second = fixture.backend("b2");
    request.reset();
    assertEquals(502, client.read().status());
    assertEquals(0, first.untaken() + second.untaken());
  }

  @Test
  void aRepeatableThatBreaksOffIsSentToAnotherBackend() throws Exception {
    earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/again/x", "id-1", "body", KEY);
    ScriptedBackend.Received request = first.take();
    ScriptedBackend second = fixture.backend("b2");
    request.reset();
    ScriptedBackend.Received again = second.take();
    assertEquals("b2", again.header("X-Deliver-To"));
    assertEquals("id-1", again.id());
    assertEquals("body", again.body);
    again.answer("200 OK", "fine");
    assertEquals("fine", client.read().body());
  }

  /** Eleven first sends: a token of the retry budget and a tenth, at a ratio of 0.2 of which half is used. */
  private void earnRetries() throws Exception {
    ScriptedBackend backend = fixture.backend("earner");
    TestClient client = fixture.client();
    for (int i = 0; i < 44; i++) {
      client.post("/once/x", "earn-" + i, "", KEY);
      backend.take().answer("200 OK", "");
      assertEquals(200, client.read().status());
    }
    fixture.backends("s", List.of());
  }

  @Test
  void withoutBudgetARepeatableIsNotSentAgain() throws Exception {
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/again/x", "id-1", "", KEY);
    ScriptedBackend.Received request = first.take();
    ScriptedBackend second = fixture.backend("b2");
    request.reset();
    assertEquals(502, client.read().status());
    assertEquals(0, second.untaken());
  }

  @Test
  void whatABackendDidNotRunGoesToAnother() throws Exception {
    earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received request = first.take();
    ScriptedBackend second = fixture.backend("b2");
    request.notRun("503 Service Unavailable");
    second.take().answer("200 OK", "ran");
    assertEquals("ran", client.read().body());
  }

  @Test
  void whatNoBackendRanIs503AndTheQuotaIsGivenBack() throws Exception {
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    first.take().notRun("421 Misdirected Request");
    TestClient.Answer answer = client.read();
    assertEquals(503, answer.status());
    assertNotNull(answer.header("Retry-After"));
    assertEquals(0L, fixture.onLoop(() -> fixture.control.taken));
  }

  @Test
  void aBackendsOwnFailureIsPassedOnAsItIs() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/again/x", "id-1", "", KEY);
    backend.take().answer("500 Internal Server Error", "broken");
    TestClient.Answer answer = client.read();
    assertEquals(500, answer.status());
    assertEquals("broken", answer.body());
    assertEquals("seal-id-1", answer.header("X-Backend-Seal"));
  }

  @Test
  void aSuccessWithoutItsSealOrIdIsNone() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    backend.take().write(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nContent-Length: 2\r\n\r\nno");
    assertEquals(502, client.read().status());
    client.post("/once/x", "id-2", "", KEY);
    backend.take().write("HTTP/1.1 200 OK\r\nX-Backend-Seal: s\r\nContent-Length: 2\r\n\r\nno");
    assertEquals(502, client.read().status());
  }

  @Test
  void aPromiseThatNobodySealedIsNotPassedOn() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    backend.take().write("HTTP/1.1 503 No\r\nX-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n");
    assertEquals(502, client.read().status());
  }

  @Test
  void aSurplusAnswerIsNotTheNextRequests() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    backend.take().answer("200 OK", "one");
    assertEquals("one", client.read().body());
    client.post("/once/x", "id-2", "", KEY);
    ScriptedBackend.Received second = backend.take();
    assertEquals(1, second.connection, "the connection is used again");
    second.write(
        "HTTP/1.1 200 OK\r\nX-Backend-Seal: seal-id-1\r\nX-Attempt-Id: id-1\r\n"
            + "Content-Length: 7\r\n\r\nsurplus");
    second.answer("200 OK", "two");
    assertEquals("two", client.read().body());
  }

  @Test
  void aConnectionWithSurplusBytesIsNotUsedAgain() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received first = backend.take();
    first.answer("200 OK", "one");
    first.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assertEquals("one", client.read().body());
    assertTrue(first.closedByPeer());
    client.post("/once/x", "id-2", "", KEY);
    ScriptedBackend.Received second = backend.take();
    assertEquals(2, second.connection);
    second.answer("200 OK", "two");
    assertEquals("two", client.read().body());
  }

  @Test
  void pipelinedRequestsAreAnsweredInTheirOrder() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < 5; i++) {
      all.append("POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-").append(i)
          .append("\r\n").append(KEY).append("\r\nContent-Length: 0\r\n\r\n");
    }
    client.write(all.toString());
    for (int i = 0; i < 5; i++) {
      ScriptedBackend.Received request = backend.take();
      assertEquals("id-" + i, request.id());
      request.answer("200 OK", "answer-" + i);
      assertEquals("answer-" + i, client.read().body());
    }
  }

  @Test
  void aRequestWithTwoLengthsIsNotPassedOn() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.write(
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\n" + KEY
            + "\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    assertEquals(400, client.read().status());
    assertEquals(0, backend.untaken());
  }

  @Test
  void atTheDeadlineWhatWasSentIs504AndTheBackendsConnectionIsClosed() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY, "X-Time-Left: 150");
    ScriptedBackend.Received request = backend.take();
    assertEquals(504, client.read().status());
    assertTrue(request.closedByPeer());
  }

  @Test
  void theRoutesTimeoutCountsWhereTheClientWouldWaitLonger() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/short/x", "id-1", "", KEY, "X-Time-Left: 60000");
    backend.take();
    assertEquals(504, client.read().status());
  }

  @Test
  void aClientThatLeavesEndsItsRequest() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received request = backend.take();
    client.close();
    assertTrue(request.closedByPeer());
  }

  @Test
  void aDrainingRouterServesAndThenCloses() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received request = backend.take();
    var done = new CountDownLatch(1);
    fixture.onLoop(
        () -> {
          fixture.router.drain(2_000, done::countDown);
          return null;
        });
    assertFalse(fixture.onLoop(fixture.router::ready));
    TestClient late = fixture.client();
    late.post("/once/x", "id-2", "", KEY);
    ScriptedBackend.Received lateRequest = backend.take();
    request.answer("200 OK", "one");
    TestClient.Answer answer = client.read();
    assertEquals("one", answer.body());
    assertEquals("close", answer.header("Connection"));
    assertTrue(client.isEnded());
    lateRequest.answer("200 OK", "two");
    assertEquals("two", late.read().body());
    assertTrue(done.await(5, TimeUnit.SECONDS));
  }

  @Test
  void aBackendThatIsNotReadyAnyMoreGetsNothing() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    fixture.onLoop(() -> fixture.control.tokens = 0);
    TestClient client = fixture.client();
    var asked = fixture.whenKeysAsked(2);
    client.post("/once/x", "id-1", "", KEY);
    asked.await();
    ScriptedBackend other = new ScriptedBackend("b2");
    fixture.backends("s", List.of(other.endpoint()));
    fixture.onLoop(
        () -> {
          fixture.control.tokens = 1_000;
          fixture.router.quotaGranted(List.of("tenant-1"));
          return null;
        });
    other.take().answer("200 OK", "");
    assertEquals(200, client.read().status());
    assertEquals(0, backend.untaken());
    other.close();
  }

  @Test
  void aBackendThatTakesNoConnectionIsPassedByWithoutCost() throws Exception {
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
      backend.take().answer("200 OK", "");
      assertEquals(200, client.read().status());
    }
    backend.close();
    reserved.close();
  }

  @Test
  void whatIsTooLargeToHoldIsRefusedAndNothingIsSent() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "x".repeat(RouterFixture.MOST_BUFFERED_BYTES + 1), KEY);
    TestClient.Answer answer = client.read();
    assertEquals(503, answer.status());
    assertNotNull(answer.header("Retry-After"));
    client.post("/once/x", "id-2", "small", KEY);
    backend.take().answer("200 OK", "");
    assertEquals(200, client.read().status());
    assertEquals(0, backend.untaken());
  }

  @Test
  void aBodyBeyondTheLimitIsRefusedAndTheConnectionEnds() throws Exception {
    TestClient client = fixture.client();
    client.write(
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\n" + KEY
            + "\r\nContent-Length: 4194305\r\n\r\n");
    assertEquals(413, client.read().status());
    assertTrue(client.isEnded());
  }

  @Test
  void aClientThatExpectsAContinueGetsIt() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.write(
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\n" + KEY
            + "\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    assertEquals(100, client.readHead().status());
    client.write("ab");
    ScriptedBackend.Received request = backend.take();
    assertEquals("ab", request.body);
    assertNull(request.header("Expect"));
    request.answer("200 OK", "");
    assertEquals(200, client.read().status());
  }

  @Test
  void aConnectionThatIsIdleForTooLongIsClosedUnlessARequestLiesUnread() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    backend.take().answer("200 OK", "");
    assertEquals(200, client.read().status());
    long later = System.nanoTime() + TimeUnit.SECONDS.toNanos(16);
    CountDownLatch held = new CountDownLatch(1);
    Future<?> sweep =
        fixture.submit(
            () -> {
              held.await(); // the loop reads nothing meanwhile
              fixture.router.tick(later);
              return null;
            });
    client.post("/once/x", "id-2", "", KEY);
    held.countDown();
    sweep.get();
    backend.take().answer("200 OK", "two");
    assertEquals("two", client.read().body());
    fixture.onLoop(
        () -> {
          fixture.router.tick(later + TimeUnit.SECONDS.toNanos(16));
          return null;
        });
    assertTrue(client.isEnded());
  }

  @Test
  void halfARequestIsEndedWith408() throws Exception {
    TestClient client = fixture.client();
    var asked = fixture.whenKeysAsked(1);
    client.post("/once/x", "id-1", "", "X-Key: unknown");
    asked.await();
    assertEquals(401, client.read().status());
    client.write("POST /once/x HTTP/1.1\r\nHost: a.");
    long later = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    TestClient.Answer answer = null;
    while (answer == null) { // until the router has read the half
      fixture.onLoop(
          () -> {
            fixture.router.tick(later);
            return null;
          });
      answer = client.readIfThere();
    }
    assertEquals(408, answer.status());
  }

  @Test
  void aRequestWaitsForTheFirstBackendAfterAStart() throws Exception {
    TestClient client = fixture.client();
    var asked = fixture.whenKeysAsked(1);
    client.post("/once/x", "id-1", "", KEY);
    asked.await();
    ScriptedBackend backend = fixture.backend("b1");
    backend.take().answer("200 OK", "");
    assertEquals(200, client.read().status());
  }

  @Test
  void anOutageIsToldWithTheLongestTimeThatAClientWaits() throws Exception {
    fixture.onLoop(() -> fixture.control.confirmed = false);
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY, "X-Time-Left: 4500");
    assertEquals("1.5", client.read().header("Retry-After"));
  }
}
