package nettletrail.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Failures seen under adverse conditions, with the project's decision module behind real sockets.
 */
@Timeout(60)
class FailureRecoveryTest {
  @TempDir private Path folder;
  private FrontDoorFixture fixture;

  @BeforeEach
  void setUp() throws IOException {
    fixture = new FrontDoorFixture(folder);
  }

  @AfterEach
  void tearDown() throws Exception {
    fixture.close();
  }

  /**
   * In slow start the backend would get less than one request at first, and then none for the whole
   * ramp.
   */
  @Test
  void oneRefusedConnectionDoesNotStartSlowStart() throws Exception {
    ServerSocket first = fixture.backend();
    int port = first.getLocalPort();
    fixture.start(FrontDoorFixture.entry("s-1", port, "SERVING"));
    first.close();
    TestPeer client = fixture.client();
    assertEquals(
        429, client.write(FrontDoorFixture.request("look", "a", 3000, "")).read().status());
    try (ServerSocket again = new ServerSocket(port, 50, InetAddress.getLoopbackAddress())) {
      client.write(FrontDoorFixture.request("look", "b", 3000, ""));
      try (TestPeer backend = TestPeer.accept(again)) {
        for (String id : new String[] {"b", "c", "d", "e"}) {
          backend.read();
          backend.answer("200 OK", "", id);
          assertEquals(id, client.read().body());
          client.write(FrontDoorFixture.request("look", id + id, 3000, ""));
        }
      }
    }
  }

  /**
   * The first list allows twelve concurrent attempts; here all twelve stay unanswered for longer
   * than their latency target.
   */
  @Test
  void unansweredAttemptsDoNotBlockNewRequests() throws Exception {
    ServerSocket backend = fixture.backend();
    fixture.start(FrontDoorFixture.entry("s-1", backend.getLocalPort(), "SERVING"));
    for (int i = 0; i < 12; i++) {
      fixture
          .client()
          .write(FrontDoorFixture.request("look", "a" + Integer.toHexString(i), 9000, ""));
      fixture.closeLater(TestPeer.accept(backend)).read();
    }
    Thread.sleep(1_200);
    TestPeer client = fixture.client().write(FrontDoorFixture.request("look", "c", 9000, ""));
    try (TestPeer next = TestPeer.accept(backend)) {
      assertEquals(FrontDoorFixture.requestId("c"), next.read().header("X-Txn"));
      next.answer("200 OK", "", "served");
      assertEquals("served", client.read().body());
    }
  }

  /**
   * The warm-up must run the code that clients use: malformed requests would only warm up the
   * rejections.
   */
  @Test
  void warmUpServesRequestsAndFinishes() throws Exception {
    FrontDoorConfig config = fixture.config();
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    try {
      FrontDoorWarmUp run =
          new FrontDoorWarmUp(group.next(), config.settings(), config.settings().settings(1));
      CountDownLatch ended = new CountDownLatch(1);
      group.next().execute(() -> run.start(ended::countDown));
      ended.await();
      assertTrue(run.served() > 0);
    } finally {
      group.shutdownGracefully(0, 2, TimeUnit.SECONDS).sync();
    }
  }

  /**
   * A restarted front door that listened earlier accepted requests that it answered late or not at
   * all.
   */
  @Test
  void listensOnlyAfterWarmUpAndWarmUpContactsNoBackend() throws Exception {
    ServerSocket backend = fixture.backend();
    int port;
    try (ServerSocket free = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    FrontDoor door =
        fixture.prepare(port, FrontDoorFixture.entry("s-1", backend.getLocalPort(), "SERVING"));
    CountDownLatch over = door.warmUp();
    assertThrows(ConnectException.class, () -> TestPeer.connect(address));
    over.await();
    assertThrows(ConnectException.class, () -> TestPeer.connect(address));
    door.open();
    while (fixture.client().write("GET /-/ready HTTP/1.1\r\nHost: gw\r\n\r\n").read().status()
        != 200) {
      Thread.sleep(20);
    }
    backend.setSoTimeout(1);
    assertThrows(SocketTimeoutException.class, backend::accept);
  }

  /** Earliest SIGKILL, counted from SIGTERM plus the longest deadline. */
  private static final long KILL_AFTER_MS = 700;

  /**
   * The last request before the listener closes gets its whole deadline, and no request is open at
   * SIGKILL, for any deadline in the settings. Deadlines above the protocol's 3 s don't delay
   * SIGKILL.
   */
  @Test
  void drainCoversTheLongestDeadlineAndEndsBeforeSigkill() throws Exception {
    for (int deadlineMs : new int[] {400, 1_000, 3_000, 9_000, 0}) {
      try (FrontDoorFixture each = new FrontDoorFixture(folder).deadlineMs(deadlineMs)) {
        FrontDoor door = each.prepare(0);
        int longestMs = deadlineMs == 0 ? 3_000 : Math.min(3_000, deadlineMs);
        assertTrue(
            door.maxDrainMs() >= FrontDoor.ACCEPT_AFTER_TERM_MS + longestMs + 50,
            "deadline " + deadlineMs);
        assertTrue(door.maxDrainMs() <= longestMs + KILL_AFTER_MS - 50, "deadline " + deadlineMs);
      }
    }
  }

  /** A connection that closes without a response loses its request. */
  @Test
  void requestOpenAtTheEndOfADrainIsAnswered() throws Exception {
    ServerSocket backend = fixture.backend();
    FrontDoor door =
        fixture.start(FrontDoorFixture.entry("s-1", backend.getLocalPort(), "SERVING"));
    TestPeer client = fixture.client().write(FrontDoorFixture.request("look", "a", 9_000, ""));
    fixture.closeLater(TestPeer.accept(backend)).read();
    door.drain();
    assertEquals(0, door.activeRequestCount());
    int status = client.read().status();
    assertTrue(status == 429 || status == 504, "as the module decides: " + status);
  }

  /** An address in use is reported on open, in one line. */
  @Test
  void openFailsOnAnAddressInUse() throws Exception {
    try (ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      FrontDoor door = fixture.prepare(other.getLocalPort());
      assertTrue(
          assertThrows(IllegalArgumentException.class, door::open)
              .getMessage()
              .startsWith("EDGE_LISTEN: can't listen on "));
    }
  }

  /**
   * A backend, or a load balancer before it, may drop an idle connection silently: only the next
   * request shows it, and is lost.
   */
  @Test
  void idleConnectionsAreNotReusedAtAnAgeAtWhichTheyBroke() throws Exception {
    ServerSocket listening = fixture.backend();
    fixture.start(FrontDoorFixture.entry("s-1", listening.getLocalPort(), "SERVING"));
    TestPeer client = fixture.client();
    for (int i = 0; i < 3; i++) {
      client.write(FrontDoorFixture.request("buy", "a" + i, 3000, "x"));
      try (TestPeer backend = TestPeer.accept(listening)) {
        backend.read();
        backend.answer("200 OK", "", "seen");
        assertEquals("seen", client.read().body());
        Thread.sleep(300);
        client.write(FrontDoorFixture.request("buy", "b" + i, 3000, "x"));
        backend.read();
        backend.reset();
        assertEquals(502, client.read().status());
      }
    }
    client.write(FrontDoorFixture.request("buy", "c", 3000, "x"));
    try (TestPeer old = TestPeer.accept(listening)) {
      old.read();
      old.answer("200 OK", "", "seen");
      client.read();
      Thread.sleep(300);
      client.write(FrontDoorFixture.request("buy", "d", 3000, "x"));
      try (TestPeer fresh = TestPeer.accept(listening)) {
        assertEquals(FrontDoorFixture.requestId("d"), fresh.read().header("X-Txn"));
        fresh.answer("200 OK", "", "served");
        assertEquals("served", client.read().body());
      }
    }
  }
}
