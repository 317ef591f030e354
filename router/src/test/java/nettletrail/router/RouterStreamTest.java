package nettletrail.router;

import static nettletrail.router.ScriptedBackend.eventText;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Event streams through a router on loopback. */
@Timeout(30)
class RouterStreamTest {
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
  void eventsAreRelayedAsTheyArrive() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/stream/x", "id-1", "", KEY);
    ScriptedBackend.Received request = backend.nextRequest();
    request.beginStream();
    request.event(1, "one");
    TestClient.Response head = client.readHead();
    assertEquals(200, head.status());
    assertEquals("seal-id-1-b1", head.header("X-Backend-Seal"));
    assertEquals(eventText(1, "one"), client.readChunk());
    request.event(2, "two");
    assertEquals(eventText(2, "two"), client.readChunk());
    request.endStream();
    assertEquals("", client.readChunk());
    client.post("/stream/x", "id-2", "", KEY);
    backend.nextRequest();
  }

  @Test
  void anIncompleteEventIsBufferedAndDroppedIfTheConnectionBreaks() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/stream/x", "id-1", "", KEY);
    ScriptedBackend.Received request = backend.nextRequest();
    request.beginStream();
    request.event(1, "one");
    client.readHead();
    assertEquals(eventText(1, "one"), client.readChunk());
    request.chunk("id: 2\ndata: tw");
    request.reset();
    assertNull(client.readChunk(), "no last chunk: the answer must not look complete");
  }

  @Test
  void aStreamIsResumedAtAnotherBackendWithoutGapOrDuplicate() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/resume/x", "id-1", "", KEY, "Last-Event-Id: 4");
    ScriptedBackend.Received request = first.nextRequest();
    assertEquals("4", request.header("Last-Event-Id"));
    request.beginStream();
    request.event(5, "five");
    TestClient.Response head = client.readHead();
    assertEquals(eventText(5, "five"), client.readChunk());
    ScriptedBackend second = fixture.backend("b2");
    request.chunk("id: 6\nda");
    request.reset();
    ScriptedBackend.Received retry = second.nextRequest();
    assertEquals("5", retry.header("Last-Event-Id"));
    assertEquals("id-1", retry.id());
    retry.beginStream();
    retry.event(5, "repeat");
    retry.event(6, "six");
    assertEquals(eventText(6, "six"), client.readChunk());
    retry.endStream();
    assertEquals("", client.readChunk());
    assertEquals("seal-id-1-b1", head.header("X-Backend-Seal"));
  }

  @Test
  void aResumedStreamWithAGapIsNotRelayed() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/resume/x", "id-1", "", KEY);
    ScriptedBackend.Received request = first.nextRequest();
    request.beginStream();
    request.event(1, "one");
    client.readHead();
    assertEquals(eventText(1, "one"), client.readChunk());
    ScriptedBackend second = fixture.backend("b2");
    request.reset();
    ScriptedBackend.Received retry = second.nextRequest();
    retry.beginStream();
    retry.chunk(eventText(3, "three") + eventText(2, "two"));
    assertNull(client.readChunk());
  }

  @Test
  void aNonResumableStreamIsNotRetried() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/stream/x", "id-1", "", KEY);
    ScriptedBackend.Received request = first.nextRequest();
    ScriptedBackend second = fixture.backend("b2");
    request.reset();
    assertEquals(502, client.read().status());
    assertEquals(0, second.pendingRequests());
  }

  @Test
  void aResumptionThatABackendRejectsIsRetriedAtTheNext() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/resume/x", "id-1", "", KEY);
    ScriptedBackend.Received request = first.nextRequest();
    request.beginStream();
    request.event(1, "one");
    client.readHead();
    client.readChunk();
    ScriptedBackend second = fixture.backend("b2");
    request.reset();
    ScriptedBackend.Received refused = second.nextRequest();
    ScriptedBackend third = fixture.backend("b3");
    refused.notRun("503 Service Unavailable");
    ScriptedBackend.Received retry = third.nextRequest();
    retry.beginStream();
    retry.event(2, "two");
    assertEquals(eventText(2, "two"), client.readChunk());
    retry.endStream();
    assertEquals("", client.readChunk());
  }

  @Test
  void aRevokedKeyPreventsTheResumptionOfAStream() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/resume/x", "id-1", "", KEY);
    ScriptedBackend.Received request = first.nextRequest();
    request.beginStream();
    request.event(1, "one");
    client.readHead();
    client.readChunk();
    ScriptedBackend second = fixture.backend("b2");
    fixture.onLoop(
        () ->
            fixture.control.routing =
                RouterFixture.table(RouterFixture.configuration(6, "\"key-2\"")));
    request.reset();
    assertNull(client.readChunk());
    assertEquals(0, second.pendingRequests());
  }

  @Test
  void atTheDeadlineAStreamEndsWithoutItsLastChunk() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/stream/x", "id-1", "", KEY, "X-Time-Left: 1500");
    ScriptedBackend.Received request = backend.nextRequest();
    request.beginStream();
    request.event(1, "one");
    client.readHead();
    client.readChunk();
    assertNull(client.readChunk());
    assertTrue(request.closedByPeer());
  }

  @Test
  void eventsOfOneReadAreRelayedInOrder() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/stream/x", "id-1", "", KEY);
    ScriptedBackend.Received request = backend.nextRequest();
    request.beginStream();
    request.chunk(eventText(1, "a") + eventText(2, "b") + "id: 3\n");
    request.chunk("data: c\n\n");
    request.endStream();
    TestClient.Response response = client.read();
    assertTrue(response.complete());
    assertEquals(eventText(1, "a") + eventText(2, "b") + eventText(3, "c"), response.body());
  }

  @Test
  void aStalledStreamIsResumedAtAnotherBackend() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/resume/x", "id-1", "", KEY);
    ScriptedBackend.Received request = first.nextRequest();
    request.beginStream();
    request.event(1, "one");
    client.readHead();
    client.readChunk();
    ScriptedBackend second = fixture.backend("b2");
    ScriptedBackend.Received retry = second.nextRequest();
    assertEquals("1", retry.header("Last-Event-Id"));
    assertTrue(request.closedByPeer());
    retry.beginStream();
    retry.event(2, "two");
    assertEquals(eventText(2, "two"), client.readChunk());
    retry.endStream();
    assertEquals("", client.readChunk());
  }

  @Test
  void aStalledNonResumableStreamEndsAtItsDeadline() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/stream/x", "id-1", "", KEY, "X-Time-Left: 1600");
    ScriptedBackend.Received request = first.nextRequest();
    ScriptedBackend second = fixture.backend("b2");
    assertTrue(request.closedByPeer());
    assertEquals(504, client.read().status());
    assertEquals(0, second.pendingRequests());
  }

  @Test
  void versionLinesOfEventsAreRelayed() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/stream/x", "id-1", "", KEY);
    ScriptedBackend.Received request = backend.nextRequest();
    request.beginStream();
    String event = "versions: 8\nid: 1\ndata: one\n\n";
    request.chunk(event);
    client.readHead();
    assertEquals(event, client.readChunk());
    request.endStream();
  }

  @Test
  void anErrorOfAStreamRouteIsForwardedCompletely() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/stream/x", "id-1", "", KEY);
    backend.nextRequest().respond("500 Internal Server Error", "broken");
    TestClient.Response response = client.read();
    assertEquals(500, response.status());
    assertEquals("broken", response.body());
  }
}
