package nettletrail.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import nettletrail.decision.Gateway;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against exhaustion of file descriptors: clients use all connections of a front door with
 * few descriptors, and discovery, backends and new clients must still get one.
 */
@Timeout(60)
class DescriptorLimitTest {
  private static final String ODD = "GET /x HTTP/1.1\r\nHost: gw\r\n\r\n";
  private static final int SOCKETS = 128;

  /** Forty of the descriptors are for clients. */
  private static final int CONNECTIONS = 200;

  private static final int LARGE = 500_000;

  @TempDir private Path folder;
  private FrontDoorFixture fixture;
  private final PausingGateway gateway = new PausingGateway();
  private ServerSocket backend;
  private FrontDoor door;

  /** Number of the last request, for its id. */
  private int number = 4_096;

  @BeforeEach
  void setUp() throws Exception {
    fixture = new FrontDoorFixture(folder);
    backend = fixture.backend();
    fixture.sockets(SOCKETS);
    door =
        fixture.start(
            gateway.factory(), FrontDoorFixture.entry("s-1", backend.getLocalPort(), "SERVING"));
  }

  @AfterEach
  void tearDown() throws Exception {
    gateway.resume();
    fixture.close();
  }

  /** Opens connections that send just this text; some are evicted at once for others. */
  private void connectMany(String says) throws IOException {
    for (int i = 0; i < CONNECTIONS; i++) {
      TestPeer one = fixture.client();
      try {
        one.write(says);
      } catch (IOException e) {
        continue; // it has been evicted already
      }
    }
  }

  /** Closes the discovery connection; no further one is answered. */
  private void stopDiscovery() throws IOException {
    fixture.watch.close();
  }

  /** Discovery answers again: the first request that is still open gets this list. */
  private void restartDiscovery(String list) throws IOException {
    while (true) {
      TestPeer call = fixture.closeLater(TestPeer.accept(fixture.discovery));
      try {
        call.read();
        call.answer("200 OK", "", list);
        call.read();
        return;
      } catch (IOException e) {
        call.close(); // closed by the front door meanwhile
      }
    }
  }

  private void assertServedBy(ServerSocket listening, TestPeer client, String txn)
      throws Exception {
    client.write(FrontDoorFixture.request("look", txn, 30_000, ""));
    try (TestPeer server = TestPeer.accept(listening)) {
      assertEquals(FrontDoorFixture.requestId(txn), server.read().header("X-Txn"));
      server.answer("200 OK", "", "seen");
      assertEquals("seen", client.read().body());
    }
  }

  private int clients() throws Exception {
    return door.loop().submit(door::clients).get();
  }

  /**
   * With silent connections, finished requests, half a head or half a body: once discovery is back
   * its list is applied, and a new client is served by it.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        ODD,
        "GET /api HTTP/1.1\r\nX-Txn",
        "POST /api HTTP/1.1\r\nHost: gw\r\nContent-Length: 9000\r\n\r\nhalf"
      })
  void newClientIsServedWhenManyConnectDuringADiscoveryOutage(String says) throws Exception {
    stopDiscovery();
    connectMany(says);
    ServerSocket other = fixture.backend();
    restartDiscovery(
        FrontDoorFixture.list(
            9, true, FrontDoorFixture.entry("s-2", other.getLocalPort(), "SERVING")));
    connectMany(says);
    assertServedBy(other, fixture.client(), "a");
    assertTrue(
        clients() <= (SOCKETS - 48) / 2 + 16,
        "what is taken in one turn at most beyond the clients' part");
  }

  /** The same after SIGTERM: a new client is served, and the drain ends. */
  @ParameterizedTest
  @ValueSource(strings = {"", "GET /api HTTP/1.1\r\nX-Txn"})
  void newClientIsServedWhenManyConnectDuringADrain(String says) throws Exception {
    stopDiscovery();
    connectMany(says);
    Thread drain = new Thread(door::drain);
    drain.start();
    while (!door.draining()) {
      Thread.onSpinWait();
    }
    connectMany(says);
    assertServedBy(backend, fixture.client(), "a");
    drain.join();
    assertEquals(0, door.activeRequestCount());
  }

  /**
   * Closed connections free their descriptors only after the loop's turn: stopListening accepts a
   * bounded number per turn, and the whole queue in the end.
   */
  @Test
  void stopListeningAcceptsABoundedNumberPerTurn() throws Exception {
    int queued = 150;
    CountDownLatch there = new CountDownLatch(1);
    CountDownLatch waiting = new CountDownLatch(1);
    var more =
        door.loop()
            .submit(
                () -> {
                  there.countDown();
                  waiting.await();
                  int before = descriptors();
                  door.stopListening();
                  return descriptors() - before;
                });
    there.await();
    List<TestPeer> queue = new ArrayList<>();
    for (int i = 0; i < queued; i++) {
      queue.add(fixture.client().write(ODD));
    }
    waiting.countDown();
    assertTrue(more.get() <= SOCKETS / 4 + 16, "beyond a turn's part: " + more.get());
    for (TestPeer each : queue) {
      assertEquals(404, each.read().status());
    }
    while (door.listens()) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
  }

  private static int descriptors() {
    return new File("/proc/self/fd").list().length;
  }

  /** All backend connections break and are reopened, while all client connections are in use. */
  @Test
  void backendConnectionsAreReopenedAfterAllBreak() throws Exception {
    int both = 20;
    List<TestPeer> clients = new ArrayList<>();
    List<TestPeer> servers = new ArrayList<>();
    for (int i = 0; i < both; i++) {
      clients.add(
          fixture
              .client()
              .write(FrontDoorFixture.request("look", Integer.toHexString(i + 16), 30_000, "")));
      servers.add(fixture.closeLater(TestPeer.accept(backend)));
      servers.get(i).read();
    }
    connectMany("");
    gateway.onAnswer = told -> {};
    for (TestPeer each : servers) {
      each.reset();
    }
    for (TestPeer each : clients) {
      assertEquals(502, each.read().status()); // the module fails a request whose attempt is reset
    }
    for (int i = 0; i < both; i++) {
      clients
          .get(i)
          .write(FrontDoorFixture.request("look", Integer.toHexString(i + 256), 30_000, ""));
    }
    for (int i = 0; i < both; i++) {
      TestPeer server = fixture.closeLater(TestPeer.accept(backend));
      server.read();
      server.answer("200 OK", "", "seen");
    }
    for (TestPeer each : clients) {
      assertEquals("seen", each.read().body());
    }
  }

  /**
   * All allowed backend connections break in one turn of the loop, and all are requested again in
   * the same turn. The broken ones' descriptors are freed only afterwards, so the new connections
   * must wait for them and use no one else's.
   */
  @Test
  void newConnectionsWaitForTheDescriptorsOfBrokenOnes() throws Exception {
    int most = 8;
    AtomicInteger before = new AtomicInteger();
    AtomicInteger more = new AtomicInteger();
    PausingGateway again =
        new PausingGateway() {
          @Override
          public void onAttemptEnd(long now, AttemptReport told) {
            if (told.outcome() == Gateway.Outcome.RESET) {
              actions.send(told.requestId(), backend, 0);
              more.set(Math.max(more.get(), descriptors() - before.get()));
            }
            answers.add(told);
          }
        };
    FrontDoorFixture small =
        new FrontDoorFixture(folder).sockets(64); // eight descriptors for backends
    try {
      small.start(
          again.factory(), FrontDoorFixture.entry("s-1", backend.getLocalPort(), "SERVING"));
      List<TestPeer> clients = new ArrayList<>();
      List<TestPeer> servers = new ArrayList<>();
      for (int i = 0; i < most; i++) {
        TestPeer client = small.client();
        clients.add(
            client.write(
                FrontDoorFixture.request("look", Integer.toHexString(i + 16), 30_000, "")));
        servers.add(TestPeer.accept(backend));
        servers.get(i).read();
      }
      again.afterPause = () -> before.set(descriptors());
      small.client().write(PausingGateway.pausingRequest("b"));
      again.awaitPaused();
      for (TestPeer each : servers) {
        each.reset();
      }
      again.resume();
      for (int i = 0; i < most; i++) {
        assertEquals(Gateway.Outcome.RESET, PausingGateway.next(again.answers).outcome());
      }
      for (int i = 0; i < most; i++) {
        TestPeer server = small.closeLater(TestPeer.accept(backend));
        server.read();
        server.answer("200 OK", "", "seen");
      }
      for (TestPeer each : clients) {
        assertEquals("seen", each.read().body());
      }
      assertTrue(more.get() <= 2, "more than before: " + more.get());
    } finally {
      again.resume();
      small.close();
    }
  }

  // ---- Responses that the client does not read
  // --------------------------------------------------------

  /** A client with a small receive window, which reads only on demand. */
  private TestPeer smallWindowClient() throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(4_096);
    InetSocketAddress to = door.address();
    socket.connect(new InetSocketAddress(to.getAddress(), to.getPort()));
    return fixture.closeLater(new TestPeer(socket));
  }

  /**
   * Sends it large responses, one after another, until its connection accepts no more; returns
   * their number.
   */
  private int fillSendBuffer(TestPeer client, TestPeer server, int most) throws Exception {
    int given = 0;
    while (given < most) {
      client.write(FrontDoorFixture.request("look", Integer.toHexString(++number), 30_000, ""));
      if (gateway.arrivals.poll(500, TimeUnit.MILLISECONDS) == null) {
        return given;
      }
      server.read();
      server.answer("200 OK", "", "x".repeat(LARGE));
      PausingGateway.next(gateway.answers);
      given++;
      TimeUnit.MILLISECONDS.sleep(
          20); // at least this long, so that the connection's cool-down is over
    }
    return given;
  }

  /** The last response is partly in the kernel: neither eviction nor a drain may cut it off. */
  @Test
  void responseBeingWrittenIsNotCutOff() throws Exception {
    assertServedBy(backend, fixture.client(), "a");
    PausingGateway.next(gateway.arrivals);
    PausingGateway.next(gateway.answers);
    TestPeer first = smallWindowClient();
    first.write(FrontDoorFixture.request("look", "b", 30_000, ""));
    PausingGateway.next(gateway.arrivals);
    TestPeer server = fixture.closeLater(TestPeer.accept(backend));
    server.read();
    server.answer("200 OK", "", "x".repeat(LARGE));
    PausingGateway.next(gateway.answers);
    TimeUnit.MILLISECONDS.sleep(20);
    int enough = 1 + fillSendBuffer(first, server, 40);
    first.close();
    TestPeer second = smallWindowClient();
    int took = fillSendBuffer(second, server, enough);
    for (int again = 0; again < 5 && took < enough; again++) {
      second
          .close(); // the kernel accepted less this time, and a waiting request keeps it from being
      // idle
      enough = took;
      second = smallWindowClient();
      took = fillSendBuffer(second, server, enough);
    }
    assertEquals(enough, took, "as many as the other took");
    door.loop().submit(() -> door.closeIdle(0)).sync();
    for (int i = 0; i < enough; i++) {
      assertEquals(LARGE, second.read().body().length(), "answer " + i + " of " + enough);
    }
  }

  /** A client that never reads is disconnected, which frees its connection for another. */
  @Test
  void clientThatNeverReadsIsDisconnected() throws Exception {
    TestPeer first = smallWindowClient();
    first.write(FrontDoorFixture.request("look", "b", 30_000, ""));
    PausingGateway.next(gateway.arrivals);
    TestPeer server = fixture.closeLater(TestPeer.accept(backend));
    server.read();
    server.answer("200 OK", "", "x".repeat(LARGE));
    PausingGateway.next(gateway.answers);
    TimeUnit.MILLISECONDS.sleep(20);
    fillSendBuffer(first, server, 40);
    long since = System.nanoTime();
    while (clients() > 0) {
      TimeUnit.MILLISECONDS.sleep(10);
      assertTrue(System.nanoTime() - since < TimeUnit.SECONDS.toNanos(8), "it holds on");
    }
  }
}
