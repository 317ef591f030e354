package nettletrail.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import nettletrail.decision.Gateway;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a client that pipelines far more requests behind an open one than are queued:
 * every parsed request is answered in order, memory is bounded, and the client's disconnect is
 * detected.
 */
@Timeout(60)
class PipelinedFloodTest {
  /** Requests queued behind the open one; further ones are rejected without the module. */
  private static final int MAX_QUEUED = 64;

  private static final int MAX_UNANSWERED = 4_096;
  @TempDir private Path folder;
  private FrontDoorFixture fixture;
  private final PausingGateway gateway = new PausingGateway();
  private ServerSocket backend;
  private FrontDoor door;
  private TestPeer client;
  private Gateway.Request open;

  @BeforeEach
  void setUp() throws Exception {
    fixture = new FrontDoorFixture(folder);
    backend = fixture.backend();
    door =
        fixture.start(
            gateway.factory(), FrontDoorFixture.entry("s-1", backend.getLocalPort(), "SERVING"));
    gateway.onArrival = request -> {};
    client = fixture.client().write(FrontDoorFixture.request("look", "a", 30_000, ""));
    open = PausingGateway.next(gateway.arrivals);
    gateway.onArrival = request -> gateway.actions.reject(request.id(), 0);
  }

  @AfterEach
  void tearDown() throws Exception {
    gateway.resume();
    fixture.close();
  }

  private static String flood(int requests, String body) {
    StringBuilder many = new StringBuilder();
    for (int i = 0; i < requests; i++) {
      many.append(FrontDoorFixture.request("buy", Integer.toHexString(i + 16), 30_000, body));
    }
    return many.toString();
  }

  private void answerOpen() throws IOException {
    door.loop().execute(() -> gateway.send(open));
    try (TestPeer server = TestPeer.accept(backend)) {
      assertEquals(FrontDoorFixture.requestId("a"), server.read().header("X-Txn"));
      server.answer("200 OK", "", "seen");
    }
    assertEquals("seen", client.read().body());
  }

  /** 1 MB behind the open request: each request is answered, and the connection stays open. */
  @Test
  void everyPipelinedRequestIsAnswered() throws Exception {
    int requests = 3_500;
    client.write(flood(requests, "x"));
    answerOpen();
    for (int i = 0; i < requests; i++) {
      TestPeer.Message answer = client.read();
      assertEquals(429, answer.status());
      assertNull(answer.header("Connection"));
    }
    assertEquals(MAX_QUEUED, gateway.arrivals.size(), "the module hears of those that were kept");
    assertEquals(404, client.write("GET /x HTTP/1.1\r\nHost: gw\r\n\r\n").read().status());
    assertEquals(0, door.activeRequestCount());
  }

  /**
   * Several MB: input beyond the limit is read and discarded, and the connection closes after the
   * last response.
   */
  @Test
  void endlessPipelineIsAnsweredUpToTheLimitThenClosed() throws Exception {
    client.write(flood(12_000, "x"));
    answerOpen();
    for (int i = 1; i < MAX_QUEUED + MAX_UNANSWERED; i++) {
      assertNull(client.read().header("Connection"), "answer " + i);
    }
    assertEquals("close", client.read().header("Connection"));
    assertTrue(client.isClosedByPeer());
    assertEquals(0, door.activeRequestCount());
  }

  /** At most 128 KB of bodies are queued, and nothing of rejected requests. */
  @Test
  void queuedBodiesAreBoundedInBytes() throws Exception {
    int requests = 40;
    client.write(flood(requests, "x".repeat(60_000)));
    answerOpen();
    for (int i = 0; i < requests; i++) {
      assertEquals(429, client.read().status());
    }
    assertEquals(2, gateway.arrivals.size());
    assertEquals(0, door.activeRequestCount());
  }

  /**
   * A duplicate of a request that may have been executed is never answered as safe to retry, and
   * invalid input is reported.
   */
  @Test
  void rejectedPipelinedRequestsAreStillValidated() throws Exception {
    client.write(
        flood(MAX_QUEUED, "x")
            + FrontDoorFixture.request("look", "a", 30_000, "")
            + "GET /x HTTP/1.1\r\nHost: gw\r\n\r\nGET /-/ready HTTP/1.1\r\nHost: gw\r\n\r\nnonsense\r\n\r\n");
    answerOpen();
    for (int i = 0; i < MAX_QUEUED; i++) {
      assertEquals(429, client.read().status());
    }
    assertEquals(400, client.read().status(), "the open one's id");
    assertEquals(404, client.read().status());
    assertEquals(200, client.read().status());
    TestPeer.Message last = client.read();
    assertEquals(400, last.status());
    assertEquals("close", last.header("Connection"));
    assertTrue(client.isClosedByPeer());
  }

  /**
   * The client disconnects after sending: the disconnect is detected behind the unread input, and
   * nothing is forwarded, even on a late loop.
   */
  @ParameterizedTest
  @ValueSource(ints = {2_000, 12_000})
  void disconnectBehindAFloodIsDetected(int requests) throws Exception {
    client.write(flood(requests, "x"));
    fixture.awaitAllRead(client);
    gateway.afterPause = () -> gateway.send(open);
    fixture.client().write(PausingGateway.pausingRequest("b"));
    gateway.awaitPaused();
    client.close();
    gateway.resume();
    Gateway.AttemptReport told = PausingGateway.next(gateway.answers);
    assertEquals(Gateway.Outcome.NEVER_SENT, told.outcome());
    assertTrue(told.requestEnded());
    assertTrue(gateway.arrivals.isEmpty());
    backend.setSoTimeout(100);
    assertThrows(SocketTimeoutException.class, backend::accept);
    assertEquals(0, door.activeRequestCount());
  }

  /** Nothing is asked for: the end alone tells, as soon as it has come through. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void disconnectIsReportedImmediately(boolean reset) throws Exception {
    client.write(flood(12_000, "x"));
    fixture.awaitAllRead(client);
    long since = System.nanoTime();
    if (reset) {
      client.reset();
    } else {
      client.close();
    }
    assertEquals(open.id(), PausingGateway.next(gateway.departures));
    long tookMs = (System.nanoTime() - since) / 1_000_000;
    assertTrue(tookMs < 100, "took " + tookMs + " ms");
    assertEquals(0, door.activeRequestCount());
  }
}
