package nettletrail.router;

import static nettletrail.router.ScriptedBackend.eventText;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A stalled attempt goes on until its replacement is certain; one obstacle a test. */
@Timeout(30)
class StalledAttemptTest {
  private static final String KEY = RouterFixture.KEY;
  private static final int STREAMS = 3;
  private RouterFixture fixture;

  /** A change of the configuration that permits no other attempt of a stream in progress. */
  enum Change {
    ROUTE_MOVED(StalledAttemptTest::moveToT),
    ROUTE_MOVED_AND_SERVICE_REMOVED(
        text ->
            text.replace("\"carrier\":\"s\"", "\"carrier\":\"t\"")
                .replace("{\"name\":\"s\"", "{\"name\":\"t\"")),
    ROUTE_REMOVED(text -> text.replace("/resume/", "/elsewhere/")),
    NOT_RESUMABLE(text -> text.replace("\"resume\":true", "\"resume\":false")),
    ONE_ATTEMPT(text -> text.replace("\"attempts\":3", "\"attempts\":1")),
    KEY_REVOKED(text -> text.replace("\"key-1\"", "\"key-3\"")),
    KEY_OF_ANOTHER_TENANT(text -> text.replace("\"tenant-1\"", "\"tenant-2\""));

    private final UnaryOperator<String> edit;

    Change(UnaryOperator<String> edit) {
      this.edit = edit;
    }
  }

  /** A client that has the first event of its stream, and the request at its backend. */
  private record Stream(String id, TestClient client, ScriptedBackend.Received request) {
    void sendEvent(int id) throws Exception {
      request.event(id, "event");
    }

    void expectEvent(int id) throws Exception {
      assertEquals(eventText(id, "event"), client.readChunk(), this.id + " was broken off");
    }

    void sendAndExpectRest() throws Exception {
      sendEvent(2);
      expectEvent(2);
      request.endStream();
      assertEquals("", client.readChunk());
    }
  }

  @BeforeEach
  void start() throws Exception {
    fixture = RouterFixture.withRetries(RouterFixture.configuration());
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  private static String moveToT(String configuration) {
    String service =
        "{\"name\":\"%s\",\"health_path\":\"/health\",\"conn_cap\":100,"
            + "\"protocol\":\"h1\",\"tls\":false}";
    return configuration
        .replace("\"carrier\":\"s\"", "\"carrier\":\"t\"")
        .replace(service.formatted("s"), service.formatted("s") + "," + service.formatted("t"));
  }

  private Stream beginStream(ScriptedBackend backend, String id) throws Exception {
    TestClient client = fixture.client();
    client.post("/resume/x", id, "", KEY);
    ScriptedBackend.Received request = backend.nextRequest();
    request.beginStream();
    Stream stream = new Stream(id, client, request);
    stream.sendEvent(1);
    client.readHead();
    stream.expectEvent(1);
    return stream;
  }

  /** A latch that opens once the router considers a retry: it reads the count of doors for it. */
  private CountDownLatch retryConsidered() throws Exception {
    CountDownLatch latch = new CountDownLatch(1);
    fixture.onLoop(() -> fixture.control.onDoorCountRead = latch::countDown);
    return latch;
  }

  // Guards against: a stream is cut off because its backend pauses while its route is changed.
  @ParameterizedTest
  @EnumSource
  void givenAPausingStream_whenTheNewRoutingTablePermitsNoRetry_thenItsBackendCompletesIt(
      Change change) throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    Stream stream = beginStream(first, "id-1");
    ScriptedBackend second = fixture.backend("b2");
    ScriptedBackend moved = fixture.backendOf("t", "b3");
    CountDownLatch resolvedAgain = fixture.latchOnKeysConfirmedRead(1);
    fixture.onLoop(
        () ->
            fixture.control.routing =
                RouterFixture.table(
                    change.edit.apply(RouterFixture.configuration(6, "\"key-1\""))));
    resolvedAgain.await();
    stream.sendAndExpectRest();
    assertEquals(0, second.pendingRequests());
    assertEquals(0, moved.pendingRequests());
  }

  // Guards against: of several streams that stall at once, those beyond the retry budget are cut.
  @Test
  void givenOneRetryLeft_whenSeveralStreamsStall_thenOneMovesAndTheOthersAreCompleted()
      throws Exception {
    ScriptedBackend first = fixture.backend("b1");
    List<Stream> streams = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      streams.add(beginStream(first, "id-" + i));
    }
    for (Stream stream : streams) {
      stream.sendEvent(2); // so that all of them fall silent at the same time
    }
    for (Stream stream : streams) {
      stream.expectEvent(2);
    }
    ScriptedBackend second = fixture.backend("b2");
    ScriptedBackend.Received retry = second.nextRequest();
    assertEquals("2", retry.header("Last-Event-Id"));
    retry.beginStream();
    for (Stream stream : streams) {
      boolean hasMoved = stream.id().equals(retry.id());
      ScriptedBackend.Received source = hasMoved ? retry : stream.request();
      source.event(3, "event");
      stream.expectEvent(3);
      source.endStream();
      assertEquals("", stream.client().readChunk());
    }
    assertEquals(0, second.pendingRequests());
  }

  // Guards against: a stream is cut off because the backend of its replacement can't be reached.
  @Test
  void givenAPausingStream_whenNoOtherBackendCanBeReached_thenItsBackendCompletesIt()
      throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    Stream stream = beginStream(first, "id-1");
    CountDownLatch considered = retryConsidered();
    fixture.backends("s", List.of(first.endpoint(), unreachable("b2"), unreachable("b3")));
    considered.await();
    stream.sendAndExpectRest();
  }

  // Guards against: the stalled attempt of a replaced one holds its connection for ever.
  @Test
  void givenAPausingStream_whenItsReplacementIsSent_thenTheStalledAttemptIsCancelled()
      throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    Stream stream = beginStream(first, "id-1");
    ScriptedBackend second = fixture.backend("b2");
    ScriptedBackend.Received retry = second.nextRequest();
    assertTrue(stream.request().closedByPeer());
    retry.beginStream();
    new Stream("id-1", stream.client(), retry).sendAndExpectRest();
  }

  private static BackendEndpoint unreachable(String id) throws Exception {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket closed = new ServerSocket(0, 1, loopback)) {
      return new BackendEndpoint(
          id, new InetSocketAddress(loopback, closed.getLocalPort()), "zone-a", 4, 0);
    }
  }
}
