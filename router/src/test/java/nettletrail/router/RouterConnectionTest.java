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

/** A router's connections to clients: framing, limits, order, ends; one rule a test. */
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
  void aBodyInChunksIsPassedOnWhole() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.write(
        "POST /once/x HTTP/1.1\r\nHost: A.example:80\r\nX-Attempt-Id: id-1\r\n"
            + KEY
            + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    ScriptedBackend.Received request = backend.take();
    assertEquals("abcde", request.body);
    request.answer("200 OK", "");
    assertEquals(200, client.read().status());
  }

  @Test
  void pipelinedRequestsAreAnsweredInTheirOrder() throws Exception {
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
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\n"
            + KEY
            + "\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    assertEquals(400, client.read().status());
    assertEquals(0, backend.untaken());
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
  void whatIsTooLargeToHoldIsRefusedAndNothingIsSent() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "x".repeat(RouterFixture.MAX_BUFFERED_BYTES + 1), KEY);
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
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\n"
            + KEY
            + "\r\nContent-Length: 4194305\r\n\r\n");
    assertEquals(413, client.read().status());
    assertTrue(client.isEnded());
  }

  @Test
  void aClientThatExpectsAContinueGetsIt() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.write(
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\n"
            + KEY
            + "\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    assertEquals(100, client.readHead().status());
    client.write("ab");
    ScriptedBackend.Received request = backend.take();
    assertEquals("ab", request.body);
    assertNull(request.header("Expect"));
    request.answer("200 OK", "");
    assertEquals(200, client.read().status());
  }

  /** The head of a second request, sent while the first one waits for its answer. */
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
    return backend.take();
  }

  @Test
  void aContinueWaitsForTheAnswersThatAreOwed() throws Exception {
    TestClient client = fixture.client();
    ScriptedBackend.Received first =
        pipeline(client, "Expect: 100-continue\r\nContent-Length: 2\r\n");
    first.answer("200 OK", "one");
    TestClient.Answer answer = client.read();
    assertEquals(200, answer.status());
    assertEquals("one", answer.body());
    assertEquals(100, client.readHead().status());
    client.write("ab");
    ScriptedBackend backend = fixture.backend("b2");
    fixture.backends("s", List.of(backend.endpoint()));
    ScriptedBackend.Received second = backend.take();
    assertEquals("ab", second.body);
    second.answer("200 OK", "two");
    assertEquals("two", client.read().body());
  }

  @Test
  void aContinueDoesNotComeInTheMiddleOfAStream() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/stream/x", "id-1", "", KEY);
    ScriptedBackend.Received request = backend.take();
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
  void aRefusedExpectationIsNotTheAnswerToAnEarlierRequest(String fields) throws Exception {
    TestClient client = fixture.client();
    ScriptedBackend.Received first = pipeline(client, fields);
    first.answer("200 OK", "one");
    TestClient.Answer answer = client.read();
    assertEquals(200, answer.status());
    assertEquals("one", answer.body());
    assertTrue(client.isEnded());
  }

  @Test
  void whatFollowsARefusedExpectationIsNoRequest() throws Exception {
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
    assertTrue(client.isEnded());
    assertEquals(0, backend.untaken());
  }

  @Test
  void aConnectionOfHttp10EndsWithItsAnswer() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.write(
        "POST /stream/x HTTP/1.0\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\n"
            + KEY
            + "\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n");
    ScriptedBackend.Received request = backend.take();
    request.beginStream();
    request.event(1, "one");
    request.endStream();
    TestClient.Answer answer = client.read();
    assertEquals(ScriptedBackend.eventText(1, "one"), answer.body());
    assertNull(answer.header("Transfer-Encoding"));
    assertEquals("close", answer.header("Connection"));
    assertTrue(client.isEnded());
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
  void aCloseThatALaterRequestAsksForDoesNotCutOffTheEarlierOne() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    String head =
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\n" + KEY + "\r\nContent-Length: 0\r\n";
    client.write(
        head
            + "X-Attempt-Id: id-1\r\n\r\n"
            + head
            + "X-Attempt-Id: id-2\r\nConnection: close\r\n\r\n");
    backend.take().answer("200 OK", "one");
    TestClient.Answer first = client.read();
    assertEquals("one", first.body());
    assertNull(first.header("Connection"));
    backend.take().answer("200 OK", "two");
    TestClient.Answer second = client.read();
    assertEquals("two", second.body());
    assertEquals("close", second.header("Connection"));
    assertTrue(client.isEnded());
  }

  @Test
  void aBackendsConnectionRestsBetweenTwoRequests() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received first = backend.take();
    long answered = System.nanoTime();
    first.answer("200 OK", "");
    assertEquals(200, client.read().status());
    client.post("/once/x", "id-2", "", KEY);
    ScriptedBackend.Received second = backend.take();
    assertEquals(1, second.connection);
    assertTrue(System.nanoTime() - answered >= TimeUnit.MILLISECONDS.toNanos(10));
    second.answer("200 OK", "");
    assertEquals(200, client.read().status());
  }
}
