package nettletrail.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import nettletrail.core.Endpoint;
import nettletrail.decision.Gateway;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against losing requests when a drain, an eviction, an endpoint update or a close coincides
 * with input that the event loop has not read yet. Each test pauses the loop at the critical moment
 * and sends the input meanwhile.
 */
@Timeout(60)
class DrainAndEvictionTest {
  private static final String ODD = "GET /x HTTP/1.1\r\nHost: gw\r\n\r\n";
  @TempDir private Path folder;
  private FrontDoorFixture fixture;
  private final PausingGateway gateway = new PausingGateway();
  private ServerSocket backend;

  @BeforeEach
  void setUp() throws IOException {
    fixture = new FrontDoorFixture(folder);
    backend = fixture.backend();
  }

  @AfterEach
  void tearDown() throws Exception {
    gateway.resume();
    fixture.close();
  }

  private FrontDoor start() throws Exception {
    return fixture.start(
        gateway.factory(), FrontDoorFixture.entry("s-1", backend.getLocalPort(), "SERVING"));
  }

  private TestPeer pauseLoop(String txn) throws Exception {
    TestPeer client = fixture.client().write(PausingGateway.pausingRequest(txn));
    gateway.awaitPaused();
    return client;
  }

  private static Thread drain(FrontDoor door) {
    Thread drain = new Thread(door::drain);
    drain.start();
    while (!door.draining()) {
      Thread.onSpinWait();
    }
    return drain;
  }

  // ---- Drains
  // -----------------------------------------------------------------------------------------

  /**
   * When listening ends, the kernel's queue holds more connections than the loop accepts in one
   * turn.
   */
  @Test
  void connectionsInTheAcceptQueueAreServedWhenListeningStops() throws Exception {
    FrontDoor door = start();
    Thread drain = drain(door);
    TestPeer held = pauseLoop("b"); // longer than connections are accepted after SIGTERM
    List<TestPeer> queue = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      queue.add(fixture.client().write(ODD));
    }
    gateway.resume();
    for (TestPeer each : queue) {
      assertEquals(404, each.read().status());
    }
    assertEquals(502, held.read().status());
    drain.join();
  }

  /**
   * A request arrives after the loop's reads of a turn, and the drain closes idle connections
   * before the next reads.
   */
  @Test
  void drainAnswersAnUnreadRequestOnAnIdleConnection() throws Exception {
    FrontDoor door = start();
    TestPeer idle = fixture.client();
    assertEquals(404, idle.write(ODD).read().status());
    TestPeer half = fixture.client().write(ODD.substring(0, 10));
    TestPeer silent = fixture.client();
    CountDownLatch there = new CountDownLatch(1);
    CountDownLatch written = new CountDownLatch(1);
    var closing =
        door.loop()
            .submit(
                () -> {
                  there.countDown();
                  written.await();
                  door.closeIdle(0); // as a drain does every 10 ms once listening has ended
                  return null;
                });
    there.await();
    idle.write(ODD);
    half.write(ODD.substring(10));
    written.countDown();
    assertEquals(404, idle.read().status());
    assertEquals(404, half.read().status());
    closing.sync();
    assertTrue(silent.isClosedByPeer(), "on which nothing is owed");
  }

  /** A client connects just before the listener closes, and its request is still in flight. */
  @Test
  void drainKeepsAConnectionOpenedJustBeforeListeningStops() throws Exception {
    FrontDoor door = start();
    CountDownLatch there = new CountDownLatch(1);
    CountDownLatch connected = new CountDownLatch(1);
    var closing =
        door.loop()
            .submit(
                () -> {
                  there.countDown();
                  connected.await();
                  door.stopListening();
                  door.closeIdle(FrontDoor.RECENT_CONNECTION_NANOS); // as a drain does in one turn
                  return null;
                });
    there.await();
    TestPeer last = fixture.client();
    connected.countDown();
    closing.sync();
    assertEquals(404, last.write(ODD).read().status());
  }

  /**
   * A process that is drained during its start must never listen: a client that connected then
   * would be reset.
   */
  @Test
  void drainBeforeOpenPreventsListening() throws Exception {
    try (ServerSocket taken = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      FrontDoor door = fixture.prepare(taken.getLocalPort());
      door.drain();
      door.open(); // listening would throw, as the port is in use
      assertTrue(!door.listens());
    }
  }

  /** SIGTERM during the warm-up: the drain completes, and in time. */
  @Test
  void drainDuringWarmUpCompletes() throws Exception {
    FrontDoor door = fixture.deadlineMs(1_000).prepare(0);
    CountDownLatch over = door.warmUp();
    door.drain();
    over.await();
    door.open();
    assertTrue(!door.listens());
    door.drain(); // a second drain has nothing to do
  }

  /** SIGKILL's delay counts from SIGTERM, whether or not the loop has processed it. */
  @Test
  void drainOnALateLoopStillAnswersInTime() throws Exception {
    fixture.deadlineMs(400);
    FrontDoor door = start();
    TestPeer client = fixture.client().write(FrontDoorFixture.request("look", "a", 30_000, ""));
    fixture.closeLater(TestPeer.accept(backend)).read();
    pauseLoop("b");
    Thread drain = new Thread(door::drain);
    drain.start();
    gateway.resume();
    drain.join();
    assertEquals(0, door.activeRequestCount(), "answered when the drain was over");
    assertEquals(502, client.read().status(), "as the module decides");
  }

  /**
   * A client pipelines behind its open request: at the end of the drain all are answered, and no
   * further one is sent.
   */
  @Test
  void drainAnswersPipelinedRequestsBehindAnOpenOne() throws Exception {
    fixture.deadlineMs(300);
    FrontDoor door = start();
    TestPeer client = fixture.client();
    for (String txn : List.of("a", "b", "c")) {
      client.write(FrontDoorFixture.request("buy", txn, 30_000, "x"));
    }
    TestPeer server = fixture.closeLater(TestPeer.accept(backend));
    server.read();
    door.drain();
    assertEquals(502, client.read().status(), "as the module decides");
    assertEquals(429, client.read().status());
    TestPeer.Message last = client.read();
    assertEquals(429, last.status());
    assertEquals("close", last.header("Connection"));
    assertEquals(0, door.activeRequestCount());
    assertTrue(server.isClosedByPeer());
  }

  // ---- Evictions
  // --------------------------------------------------------------------------------------

  /**
   * Many connections are accepted before the request is read, and each evicts a connection that
   * looks idle.
   */
  @Test
  void evictionAnswersAnUnreadRequest() throws Exception {
    fixture.sockets(80);
    start();
    TestPeer idle = fixture.client(); // has sent nothing yet: the first to be evicted
    assertEquals(
        404, fixture.client().write(ODD).read().status()); // by then the first is accepted, too
    pauseLoop("b");
    for (int i = 0; i < 30; i++) {
      fixture.client();
    }
    idle.write(ODD);
    gateway.resume();
    assertEquals(404, idle.read().status());
  }

  // ---- Lists and backends' connections
  // ----------------------------------------------------------------

  /** Starts with two backends and returns an idle connection to the first. */
  private TestPeer idleBackendConnection(ServerSocket second) throws Exception {
    fixture.start(
        gateway.factory(),
        FrontDoorFixture.entry("s-1", backend.getLocalPort(), "SERVING"),
        FrontDoorFixture.entry("s-2", second.getLocalPort(), "SERVING"));
    TestPeer client = fixture.client().write(FrontDoorFixture.request("look", "1", 30_000, ""));
    TestPeer server = fixture.closeLater(TestPeer.accept(backend));
    server.read();
    server.answer("200 OK", "", "one");
    assertEquals("one", client.read().body());
    // A request that looks for any connection ends the cool-downs that are over.
    gateway.onArrival = request -> gateway.actions.send(request.id(), Endpoint.idOf("s-2"), 0);
    TimeUnit.MILLISECONDS.sleep(20); // at least this long
    client.write(FrontDoorFixture.request("look", "2", 30_000, ""));
    try (TestPeer other = TestPeer.accept(second)) {
      other.read();
      other.answer("200 OK", "", "two");
      assertEquals("two", client.read().body());
    }
    for (int i = 0; i < 2; i++) {
      PausingGateway.next(gateway.answers);
      PausingGateway.next(gateway.arrivals);
    }
    gateway.onArrival = request -> {};
    return server;
  }

  /** The update that drains the backend arrives before the send, and is unread on a late loop. */
  @Test
  void unreadEndpointUpdateIsAppliedBeforeASend() throws Exception {
    TestPeer server = idleBackendConnection(fixture.backend());
    fixture.client().write(FrontDoorFixture.request("buy", "a", 30_000, "x"));
    Gateway.Request kept = PausingGateway.next(gateway.arrivals);
    gateway.afterPause = () -> gateway.actions.send(kept.id(), Endpoint.idOf("s-1"), 0);
    pauseLoop("b");
    fixture.watch.answer(
        "200 OK",
        "",
        FrontDoorFixture.list(
            8, false, FrontDoorFixture.entry("s-1", backend.getLocalPort(), "DRAINING")));
    gateway.resume();
    assertEquals(Gateway.Outcome.NEVER_SENT, PausingGateway.next(gateway.answers).outcome());
    assertTrue(server.isClosedByPeer(), "nothing came");
  }

  /**
   * The backend closes the connection in the turn in which it is chosen: a request written to it
   * would be lost, and counts as possibly executed.
   */
  @Test
  void backendConnectionWithAnUnreadCloseIsNotUsed() throws Exception {
    TestPeer server = idleBackendConnection(fixture.backend());
    TestPeer client = fixture.client().write(FrontDoorFixture.request("buy", "c", 30_000, "x"));
    Gateway.Request kept = PausingGateway.next(gateway.arrivals);
    gateway.afterPause = () -> gateway.actions.send(kept.id(), Endpoint.idOf("s-1"), 0);
    pauseLoop("d");
    server.shutdownOutput();
    gateway.resume();
    try (TestPeer fresh = TestPeer.accept(backend)) {
      assertEquals(FrontDoorFixture.requestId("c"), fresh.read().header("X-Txn"));
      fresh.answer("200 OK", "", "three");
      assertEquals("three", client.read().body());
    }
  }

  // ---- Ids
  // --------------------------------------------------------------------------------------------

  /** A second copy must be rejected for as long as the first is open, or both would be executed. */
  @Test
  void requestIdStaysUsedWhileItsFirstRequestIsOpen() throws Exception {
    fixture.deadlineMs(200);
    start();
    TestPeer client = fixture.client().write(FrontDoorFixture.request("buy", "a", 30_000, "x"));
    try (TestPeer server = TestPeer.accept(backend)) {
      server.read();
      for (int i = 0; i < 3; i++) {
        TimeUnit.MILLISECONDS.sleep(250); // longer than the settings' longest deadline
        assertEquals(
            400,
            fixture
                .client()
                .write(FrontDoorFixture.request("buy", "a", 30_000, "x"))
                .read()
                .status());
      }
      server.answer("200 OK", "", "sold");
      assertEquals("sold", client.read().body());
    }
  }
}
