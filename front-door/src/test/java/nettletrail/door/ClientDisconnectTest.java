package nettletrail.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import nettletrail.core.Endpoint;
import nettletrail.decision.Gateway;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against sending a waiting request to a backend after its client has disconnected. The
 * failure comes about when the event loop is busy for half a second and has not read the disconnect
 * yet. Each test pauses the loop at the critical moment, disconnects the client, and lets the
 * loop's next step be the one that would send the request.
 */
@Timeout(60)
class ClientDisconnectTest {
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

  private static void disconnect(TestPeer client, boolean reset) throws IOException {
    if (reset) {
      client.reset();
    } else {
      client.close();
    }
  }

  private void assertNoConnection() throws IOException {
    backend.setSoTimeout(100);
    assertThrows(SocketTimeoutException.class, backend::accept);
  }

  private void pauseLoop(String txn) throws Exception {
    fixture.client().write(PausingGateway.pausingRequest(txn));
    gateway.awaitPaused();
  }

  /** The attempt was never sent and the request has ended, which returns its units. */
  private void assertNeverSent() throws InterruptedException {
    Gateway.AttemptReport told = PausingGateway.next(gateway.answers);
    assertEquals(Gateway.Outcome.NEVER_SENT, told.outcome());
    assertTrue(told.requestEnded());
  }

  /**
   * At any delay of the loop: also without one, when the event that sends precedes the one that
   * reports the disconnect.
   */
  @ParameterizedTest
  @CsvSource({"false, 500", "true, 500", "false, 60", "true, 60", "false, 0", "true, 0"})
  void disconnectWhileTheGatewayHoldsTheRequest(boolean reset, int lateMs) throws Exception {
    gateway.lateMs = lateMs;
    FrontDoor door = start();
    gateway.onArrival = request -> {};
    TestPeer client = fixture.client().write(FrontDoorFixture.request("buy", "a", 30_000, "x"));
    Gateway.Request kept = PausingGateway.next(gateway.arrivals);
    gateway.afterPause = () -> gateway.send(kept);
    pauseLoop("b");
    disconnect(client, reset);
    gateway.resume();
    assertNeverSent();
    assertNoConnection();
    assertEquals(0, door.activeRequestCount());
  }

  /** The whole request is unread, and behind it the client's disconnect. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void disconnectBeforeTheRequestIsRead(boolean reset) throws Exception {
    FrontDoor door = start();
    TestPeer client = fixture.client();
    assertEquals(404, client.write("GET /x HTTP/1.1\r\nHost: gw\r\n\r\n").read().status());
    TestPeer other = fixture.client().write(PausingGateway.pausingRequest("b"));
    gateway.awaitPaused();
    client.write(FrontDoorFixture.request("buy", "a", 30_000, "x"));
    disconnect(client, reset);
    gateway.resume();
    assertEquals(502, other.read().status());
    assertNoConnection();
    assertTrue(gateway.arrivals.isEmpty(), "nobody asks for it");
    assertEquals(0, door.activeRequestCount());
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void disconnectWhileTheBackendConnectionIsBeingOpened(boolean reset) throws Exception {
    fixture.connectTimeoutMs(15_000);
    ServerSocket full = fixture.backend(1);
    FrontDoor door =
        fixture.start(
            gateway.factory(), FrontDoorFixture.entry("s-1", full.getLocalPort(), "SERVING"));
    // With its backlog full, a further connection is not established before the kernel retries.
    try (Socket first = new Socket(full.getInetAddress(), full.getLocalPort());
        Socket second = new Socket(full.getInetAddress(), full.getLocalPort())) {
      assertTrue(first.isConnected() && second.isConnected());
      TestPeer client = fixture.client().write(FrontDoorFixture.request("buy", "a", 30_000, "x"));
      PausingGateway.next(gateway.arrivals);
      pauseLoop("b");
      TestPeer.accept(full).close();
      TestPeer.accept(full).close();
      try (TestPeer up =
          TestPeer.accept(full)) { // it is established, and the loop has not seen that yet
        disconnect(client, reset);
        gateway.resume();
        assertNeverSent();
        assertEquals(0, door.activeRequestCount());
        fixture.client().write(FrontDoorFixture.request("look", "c", 30_000, ""));
        assertEquals(
            FrontDoorFixture.requestId("c"),
            up.read().header("X-Txn"),
            "the first that comes on it is another's");
      }
    }
  }

  /**
   * The connection's cool-down ends when the next request looks for a connection, in the same turn
   * of the loop.
   */
  @Test
  void disconnectWhileWaitingForACoolingConnection() throws Exception {
    start();
    TestPeer client = fixture.client().write(FrontDoorFixture.request("look", "a", 30_000, ""));
    long first = PausingGateway.next(gateway.arrivals).id();
    gateway.onArrival = request -> {};
    try (TestPeer server = TestPeer.accept(backend)) {
      server.read();
      TestPeer leaving = fixture.client().write(FrontDoorFixture.request("buy", "b", 30_000, "x"));
      Gateway.Request kept = PausingGateway.next(gateway.arrivals);
      TestPeer staying = fixture.client().write(FrontDoorFixture.request("look", "c", 30_000, ""));
      Gateway.Request other = PausingGateway.next(gateway.arrivals);
      gateway.onAnswer =
          told -> {
            if (told.requestId() == first) {
              gateway.send(kept); // waits for the connection that cools down
              gateway.pause();
              gateway.send(other); // which ends the cool-down
            }
          };
      server.answer("200 OK", "", "one");
      assertEquals("one", client.read().body());
      gateway.awaitPaused();
      leaving.close();
      gateway.resume();
      assertEquals(
          FrontDoorFixture.requestId("c"),
          server.read().header("X-Txn"),
          "who left got the connection");
      server.answer("200 OK", "", "two");
      assertEquals("two", staying.read().body());
    }
    assertNoConnection();
  }

  /** The backend rejects the request and the module retries it. */
  @ParameterizedTest
  @ValueSource(ints = {500, 60, 0})
  void disconnectBetweenTwoAttempts(int lateMs) throws Exception {
    gateway.lateMs = lateMs;
    FrontDoor door = start();
    TestPeer client = fixture.client().write(FrontDoorFixture.request("look", "a", 30_000, ""));
    Gateway.Request request = PausingGateway.next(gateway.arrivals);
    gateway.onAnswer =
        told -> {
          if (told.outcome() == Gateway.Outcome.FULL) {
            gateway.pause();
            gateway.send(request);
          }
        };
    try (TestPeer server = TestPeer.accept(backend)) {
      server.read();
      server.answer("503 Full", "X-Turned-Away: 1\r\n", "");
      gateway.awaitPaused();
      client.close();
      gateway.resume();
      assertEquals(Gateway.Outcome.FULL, PausingGateway.next(gateway.answers).outcome());
      assertNeverSent();
      assertEquals(0, door.activeRequestCount());
      fixture.client().write(FrontDoorFixture.request("look", "c", 30_000, ""));
      assertEquals(
          FrontDoorFixture.requestId("c"),
          server.read().header("X-Txn"),
          "the next that comes is another's");
    }
    assertNoConnection();
  }

  /**
   * A refused connection proves that nothing was executed: the module retries at another backend,
   * unless the client left.
   */
  @ParameterizedTest
  @ValueSource(ints = {500, 60, 0})
  void disconnectAfterAFailedConnect(int lateMs) throws Exception {
    gateway.lateMs = lateMs;
    FrontDoor door = start();
    int nobody;
    try (ServerSocket gone = new ServerSocket(0, 1, backend.getInetAddress())) {
      nobody = gone.getLocalPort();
    }
    gateway.onArrival = request -> {};
    fixture.watch.answer(
        "200 OK",
        "",
        FrontDoorFixture.list(
            8,
            true,
            FrontDoorFixture.entry("s-2", nobody, "SERVING"),
            FrontDoorFixture.entry("s-1", backend.getLocalPort(), "SERVING")));
    fixture.watch.read();
    TestPeer client = fixture.client().write(FrontDoorFixture.request("buy", "a", 30_000, "x"));
    Gateway.Request request = PausingGateway.next(gateway.arrivals);
    gateway.onAnswer =
        told -> {
          if (told.outcome() == Gateway.Outcome.CONNECT_FAILED) {
            gateway.pause();
            gateway.actions.send(request.id(), Endpoint.idOf("s-1"), 0);
          }
        };
    door.loop().execute(() -> gateway.actions.send(request.id(), Endpoint.idOf("s-2"), 0));
    gateway.awaitPaused();
    client.close();
    gateway.resume();
    assertEquals(Gateway.Outcome.CONNECT_FAILED, PausingGateway.next(gateway.answers).outcome());
    assertNeverSent();
    assertNoConnection();
    assertEquals(0, door.activeRequestCount());
  }

  /**
   * All client connections are in use and accepting is paused: a client that connects, sends and
   * disconnects is in the kernel's queue.
   */
  @Test
  void disconnectBeforeTheConnectionIsAccepted() throws Exception {
    fixture.sockets(68); // ten for clients
    FrontDoor door = start();
    gateway.onArrival = request -> {};
    List<TestPeer> open = new ArrayList<>();
    for (int i = 0; i < 11; i++) {
      open.add(
          fixture
              .client()
              .write(FrontDoorFixture.request("buy", Integer.toHexString(i + 16), 30_000, "x")));
      PausingGateway.next(gateway.arrivals);
    }
    gateway.onArrival = gateway::send;
    fixture.client().write(FrontDoorFixture.request("buy", "a", 30_000, "x")).close();
    TestPeer next = fixture.client().write("GET /x HTTP/1.1\r\nHost: gw\r\n\r\n");
    open.get(0).close();
    open.get(1).close();
    open.get(2).close();
    assertEquals(404, next.read().status());
    assertTrue(gateway.arrivals.isEmpty(), "nobody asks for it");
    assertNoConnection();
    assertEquals(8, door.activeRequestCount());
  }

  @Test
  void disconnectBehindAnOpenRequestOnTheSameConnection() throws Exception {
    FrontDoor door = start();
    TestPeer client =
        fixture
            .client()
            .write(
                FrontDoorFixture.request("look", "a", 30_000, "")
                    + FrontDoorFixture.request("buy", "b", 30_000, "x"));
    try (TestPeer server = TestPeer.accept(backend)) {
      server.read();
      pauseLoop("c");
      server.answer("200 OK", "", "one"); // which starts the second request
      client.close();
      gateway.resume();
      fixture.client().write(FrontDoorFixture.request("look", "d", 30_000, ""));
      assertEquals(
          FrontDoorFixture.requestId("d"),
          server.read().header("X-Txn"),
          "the next that comes is another's");
      server.answer("200 OK", "", "");
    }
    assertNoConnection();
    assertEquals(0, door.activeRequestCount());
  }

  /**
   * It sent more than is parsed as requests: the rest is discarded, but its disconnect is detected.
   */
  @Test
  void disconnectIsDetectedOnAConnectionWhoseInputIsDiscarded() throws Exception {
    FrontDoor door = start();
    gateway.onArrival = request -> {};
    StringBuilder many = new StringBuilder();
    for (int i = 0; i < 5_000; i++) {
      many.append(FrontDoorFixture.request("buy", Integer.toHexString(i + 16), 30_000, "x"));
    }
    TestPeer client = fixture.client().write(many.toString());
    Gateway.Request kept = PausingGateway.next(gateway.arrivals);
    fixture.awaitAllRead(client);
    gateway.afterPause = () -> gateway.send(kept);
    pauseLoop("b");
    client.close();
    gateway.resume();
    assertNeverSent();
    assertTrue(gateway.arrivals.isEmpty());
    assertNoConnection();
    assertEquals(0, door.activeRequestCount());
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void burstOfDisconnectsSendsNothingAlsoDuringADrain(boolean draining) throws Exception {
    int clients = 300;
    fixture.sockets(4096);
    FrontDoor door = start();
    gateway.onArrival = request -> {};
    List<TestPeer> burst = new ArrayList<>();
    List<Gateway.Request> kept = new ArrayList<>();
    for (int i = 0; i < clients; i++) {
      burst.add(
          fixture
              .client()
              .write(FrontDoorFixture.request("buy", Integer.toHexString(i + 16), 30_000, "x")));
      kept.add(PausingGateway.next(gateway.arrivals));
    }
    gateway.afterPause = () -> kept.forEach(gateway::send);
    Thread drain = new Thread(door::drain);
    if (draining) {
      drain.start();
      while (!door.draining()) {
        Thread.onSpinWait();
      }
    }
    pauseLoop("b");
    for (TestPeer each : burst) {
      each.close();
    }
    gateway.resume();
    for (int i = 0; i < clients; i++) {
      assertNeverSent();
    }
    assertNoConnection();
    assertEquals(0, door.activeRequestCount());
    drain.join();
  }
}
