package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Graceful shutdown of a router; one rule a test. */
@Timeout(30)
class RouterDrainTest {
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

  private CountDownLatch drain(long graceMs) throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    fixture.onLoop(
        () -> {
          fixture.router.drain(graceMs, done::countDown);
          return null;
        });
    return done;
  }

  private boolean isRefusedOrEnded() throws Exception {
    try {
      return fixture.client().isClosed();
    } catch (ConnectException refused) {
      return true;
    }
  }

  private static int probe(TestClient platform) throws Exception {
    platform.write("GET /nettletrail/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    return platform.read().status();
  }

  @Test
  void theReadinessCheckFailsFromTheStartOfTheDrain() throws Exception {
    InetSocketAddress gate =
        (InetSocketAddress)
            fixture.router.listenForProbes("127.0.0.1", 0).sync().channel().localAddress();
    try (TestClient platform = new TestClient(gate)) {
      assertEquals(200, probe(platform));
      drain(2_000);
      assertEquals(503, probe(platform));
      try (TestClient another = new TestClient(gate)) {
        assertEquals(503, probe(another));
      }
    }
  }

  @Test
  void noConnectionIsAcceptedAfterTheDrain() throws Exception {
    fixture.backend("b1");
    CountDownLatch done = drain(1_000);
    assertTrue(done.await(10, TimeUnit.SECONDS));
    // The kernel accepts connections until the selector deregisters the socket; none is served.
    assertTrue(isRefusedOrEnded());
  }

  @Test
  void aLateRequestIsServedWhileDrainingOnlyIfItEndsBeforeTheProcess() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient idle = fixture.client();
    idle.post("/once/x", "id-0", "", KEY);
    backend.nextRequest().respond("200 OK", "");
    assertEquals(200, idle.read().status());
    TestClient early = fixture.client();
    early.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received inHand = backend.nextRequest();
    drain(4_000);
    assertTrue(idle.isClosed()); // from now on a request is late
    TestClient long5Seconds = fixture.client();
    long5Seconds.post("/once/x", "id-2", "", KEY);
    TestClient.Response refused = long5Seconds.read();
    assertEquals(503, refused.status());
    assertEquals("close", refused.header("Connection"));
    TestClient short400Milliseconds = fixture.client();
    short400Milliseconds.post("/short/x", "id-3", "", KEY);
    ScriptedBackend.Received served = backend.nextRequest();
    assertEquals("id-3", served.id());
    served.respond("200 OK", "");
    assertEquals(200, short400Milliseconds.read().status());
    inHand.respond("200 OK", "early");
    assertEquals("early", early.read().body());
    assertEquals(0, backend.pendingRequests());
  }

  @Test
  void aStalledStreamIsNotRetriedWhileDraining() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/resume/x", "id-1", "", KEY, "X-Time-Left: 2500");
    ScriptedBackend.Received request = first.nextRequest();
    request.beginStream();
    request.event(1, "one");
    client.readHead();
    client.readChunk();
    ScriptedBackend second = fixture.backend("b2");
    drain(20_000);
    assertNull(client.readChunk()); // at its deadline, long after a stall that has a stream retried
    assertEquals(0, second.pendingRequests());
  }
}
