package nettletrail.fleet.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import nettletrail.fleet.http.RawHttpClient.Response;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(value = 60, unit = TimeUnit.SECONDS)
class ControlServerTest {
  private static final long TIMEOUT_SECONDS = 20;
  private static final String BACKEND = "/nettletrail/backends/i-7f3a";
  private static final String CONFIGURATION = "/nettletrail/config";
  private static final String HEARTBEAT =
"""
{"carrier":"huvo","address":"10.128.0.9:8080","zone":"hall-a","edition":"v1","berths":32,
 "state":"open_for_mail","cold_left_ms":12.5,"stage":"either_way",
 "models":[{"name":"m","edition":1,"adapters":[]},{"name":"n"}],"later":{"a":[1]},"call_seq":4}
""";

  /** The arguments of a call. */
  private record ReceivedCall(
      long call, String method, Backend backend, String ifMatch, String body) {}

  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final BlockingQueue<ReceivedCall> received = new LinkedBlockingQueue<>();
  private final AtomicLong clock = new AtomicLong();
  private ControlServer server;
  private InetSocketAddress address;

  @BeforeEach
  void listen() throws Exception {
    listen(new ControlSettings(4, 2048, 10_000, 3, 30_000, 30_000));
  }

  private void listen(ControlSettings settings) throws Exception {
    EventLoop loop = group.next();
    server = new ControlServer(loop, settings, new RecordingCalls(), clock::get);
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    address = (InetSocketAddress) server.listen(any).sync().channel().localAddress();
  }

  /** For tests of the time-outs; short ones would fail other tests on a busy machine. */
  private void listenWithShortTimeouts() throws Exception {
    server.close();
    listen(new ControlSettings(4, 2048, 10_000, 3, 300, 600));
  }

  @AfterEach
  void close() {
    server.close();
    group
        .shutdownGracefully(0, 1, TimeUnit.SECONDS)
        .awaitUninterruptibly(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private final class RecordingCalls implements ControlRequestHandler {
    @Override
    public void backend(long call, String method, Backend backend) {
      received.add(new ReceivedCall(call, method, backend, "", ""));
    }

    @Override
    public void configuration(long call, String method, String ifMatch, byte[] body) {
      String text = new String(body, StandardCharsets.UTF_8);
      received.add(new ReceivedCall(call, method, null, ifMatch, text));
    }

    @Override
    public void status(long call, String resource) {
      received.add(new ReceivedCall(call, "STATUS", null, "", resource));
    }
  }

  private ReceivedCall nextCall() throws InterruptedException {
    ReceivedCall call = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(call);
    return call;
  }

  private <T> T onLoop(Callable<T> task) throws Exception {
    return group.next().submit(task).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void answer(ReceivedCall call, int status, String json) throws Exception {
    answer(call, status, json, JsonResponse.ALWAYS);
  }

  private void answer(ReceivedCall call, int status, String json, long validUntil)
      throws Exception {
    onLoop(
        () -> {
          server.answer(call.call(), status, json.getBytes(StandardCharsets.UTF_8), validUntil);
          return null;
        });
  }

  private Response exchange(String method, String target, String body) throws Exception {
    try (RawHttpClient client = new RawHttpClient(address)) {
      client.request(method, target, body);
      return client.read();
    }
  }

  @Test
  void statusRequestIsDispatchedAndMayBeRedirected() throws Exception {
    try (RawHttpClient client = new RawHttpClient(address)) {
      client.request("GET", "/nettletrail/status/quota/north%20a", "");
      ReceivedCall call = nextCall();
      assertEquals("quota/north a", call.body());
      onLoop(
          () -> {
            server.redirect(call.call(), "http://127.0.0.1:1/elsewhere");
            return null;
          });
      Response answer = client.read();
      assertEquals(307, answer.status());
      assertEquals("http://127.0.0.1:1/elsewhere", answer.fields().get("location"));
    }
    assertEquals(405, exchange("POST", "/nettletrail/status/doors", "{}").status());
  }

  @Test
  void heartbeatIsDispatchedWithAllItsFields() throws Exception {
    try (RawHttpClient client = new RawHttpClient(address)) {
      client.request("PUT", BACKEND, HEARTBEAT);
      ReceivedCall call = nextCall();
      Backend expected =
          new Backend(
              "i-7f3a",
              "huvo",
              "10.128.0.9:8080",
              "hall-a",
              "v1",
              32,
              BackendState.READY,
              12L,
              "either_way",
              List.of("m", "n"),
              4L);
      assertEquals("PUT", call.method());
      assertEquals(expected, call.backend());
      answer(call, 200, "");
      Response answer = client.read();
      assertEquals(200, answer.status());
      assertEquals("{}", answer.body());
      assertEquals("application/json", answer.fields().get("content-type"));
    }
  }

  @Test
  void closingStateAndMissingOptionalFieldsAreParsed() throws Exception {
    try (RawHttpClient client = new RawHttpClient(address)) {
      client.request(
          "PUT",
          BACKEND,
          "{\"carrier\":\"s\",\"address\":\"10.0.0.1:1\",\"state\":\"closing\",\"call_seq\":9,"
              + "\"stage\":null}");
      Backend backend = nextCall().backend();
      assertEquals(BackendState.CLOSING, backend.getState());
      assertEquals(9L, backend.getCallSequence());
      assertEquals(1, backend.getSlots());
      assertEquals("", backend.getStage());
    }
  }

  @Test
  void deleteDeregistersWithTheHighestOrTheGivenCallSequence() throws Exception {
    try (RawHttpClient client = new RawHttpClient(address)) {
      client.request("DELETE", BACKEND, "");
      client.request("DELETE", BACKEND + "?call_seq=17", "");
      Backend first = nextCall().backend();
      assertEquals(BackendState.GONE, first.getState());
      assertEquals("i-7f3a", first.getId());
      assertEquals(ControlRequestHandler.FINAL_CALL_SEQUENCE, first.getCallSequence());
      assertEquals(17L, nextCall().backend().getCallSequence());
    }
  }

  @Test
  void configurationRequestsAreDispatchedWithEditionAndBody() throws Exception {
    String[][] table = {
      {"PUT", "If-Match: 5\r\n", "5"},
      {"PUT", "If-Match: \"5\"\r\n", "5"},
      {"PATCH", "if-match: W/\"7\"\r\n", "7"},
      {"PATCH", "", ""},
      {"GET", "", ""},
    };
    for (String[] row : table) {
      try (RawHttpClient client = new RawHttpClient(address)) {
        String body = row[0].equals("GET") ? "" : "{\"edition\":8}";
        client.request(row[0], CONFIGURATION, row[1], body);
        ReceivedCall call = nextCall();
        assertEquals(row[0], call.method());
        assertEquals(row[2], call.ifMatch());
        assertEquals(body, call.body());
        answer(call, 412, "{\"error\":\"edition\"}");
        Response answer = client.read();
        assertEquals(412, answer.status());
        assertEquals("{\"error\":\"edition\"}", answer.body());
      }
    }
  }

  @Test
  void malformedRequestsAreRejectedWithAReason() throws Exception {
    String[][] table = {
      {"PUT", BACKEND, "", "400"},
      {"PUT", BACKEND, "[]", "400"},
      {"PUT", BACKEND, "{\"carrier\":\"s\"", "400"},
      {"PUT", BACKEND, HEARTBEAT + "x", "400"},
      {"PUT", BACKEND, HEARTBEAT.replace("open_for_mail", "resting"), "400"},
      {"PUT", BACKEND, HEARTBEAT.replace("open_for_mail", "r".repeat(8_000)), "400"},
      {"PUT", BACKEND, HEARTBEAT.replace("\"call_seq\":4", "\"call_seq\":\"4\""), "400"},
      {"PUT", BACKEND, HEARTBEAT.replace("\"call_seq\":4", "\"call_seq\":-4"), "400"},
      {"PUT", BACKEND, HEARTBEAT.replace("\"call_seq\":4", "\"call_seq\":1e40"), "400"},
      {"PUT", BACKEND, HEARTBEAT.replace("\"call_seq\"", "\"other\""), "400"},
      {"PUT", BACKEND, HEARTBEAT.replace("[{\"name\":\"m\"", "[{\"nome\":\"m\""), "400"},
      {"DELETE", BACKEND + "?call_seq=x", "", "400"},
      {"GET", "/nettletrail/ba%ckends", "", "400"},
      {"POST", BACKEND, HEARTBEAT, "405"},
      {"DELETE", CONFIGURATION, "", "405"},
      {"PUT", "/nettletrail/ready", "", "405"},
      {"PUT", "/nettletrail/backends/", HEARTBEAT, "404"},
      {"PUT", "/nettletrail/backends/a/b", HEARTBEAT, "404"},
      {"GET", "/", "", "404"},
    };
    for (String[] row : table) {
      Response answer = exchange(row[0], row[1], row[2]);
      String call = String.join(" ", row);
      assertEquals(Integer.parseInt(row[3]), answer.status(), call);
      assertTrue(answer.body().startsWith("{\"error\":\""), call);
      assertTrue(answer.body().length() < 4096, call);
    }
    assertTrue(received.isEmpty());
  }

  @Test
  void methodNotAllowedListsTheAllowedMethods() throws Exception {
    assertEquals("PUT, DELETE", exchange("GET", BACKEND, "").fields().get("allow"));
    assertEquals("GET, PUT, PATCH", exchange("POST", CONFIGURATION, "").fields().get("allow"));
  }

  @Test
  void readinessIsTheOneThatWasSet() throws Exception {
    assertEquals(503, exchange("GET", "/nettletrail/ready", "").status());
    onLoop(
        () -> {
          server.setReady(true);
          return null;
        });
    assertEquals(200, exchange("GET", "/nettletrail/ready", "").status());
  }

  @Test
  void pipelinedRequestsAreAnsweredInTheirOrder() throws Exception {
    try (RawHttpClient client = new RawHttpClient(address)) {
      client.request("GET", CONFIGURATION, "");
      client.request("GET", "/nettletrail/nowhere", "");
      client.request("GET", CONFIGURATION, "");
      ReceivedCall first = nextCall();
      ReceivedCall second = nextCall();
      answer(second, 200, "{\"call\":2}");
      answer(first, 200, "{\"call\":1}");
      assertEquals("{\"call\":1}", client.read().body());
      assertEquals(404, client.read().status());
      assertEquals("{\"call\":2}", client.read().body());
      client.request("GET", CONFIGURATION, "");
      answer(nextCall(), 200, "{\"call\":3}");
      assertEquals("{\"call\":3}", client.read().body());
    }
  }

  @Test
  void answerThatExpiresBehindAnEarlierOneIsReplacedBy503() throws Exception {
    long validUntil = 1_000;
    clock.set(validUntil - 1);
    try (RawHttpClient client = new RawHttpClient(address)) {
      client.request("GET", CONFIGURATION, "");
      client.request("GET", CONFIGURATION, "");
      ReceivedCall first = nextCall();
      ReceivedCall second = nextCall();
      answer(second, 200, "{\"call\":2}", validUntil);
      clock.set(validUntil);
      answer(first, 200, "{\"call\":1}", validUntil + 1);
      assertEquals("{\"call\":1}", client.read().body());
      assertEquals(503, client.read().status());
    }
  }

  @Test
  void pipelinedCallsBeyondTheLimitAreNotRead() throws Exception {
    try (RawHttpClient client = new RawHttpClient(address)) {
      String request = "GET " + CONFIGURATION + " HTTP/1.1\r\nHost: core\r\n\r\n";
      client.write(request.repeat(5));
      ReceivedCall first = nextCall();
      nextCall();
      nextCall();
      assertEquals(3, onLoop(server::pendingCalls));
      answer(first, 200, "{}");
      nextCall();
      assertEquals(3, onLoop(server::pendingCalls));
      assertTrue(received.isEmpty());
    }
  }

  @Test
  void callOfADisconnectedClientIsCancelledAndALateAnswerDropped() throws Exception {
    ReceivedCall call;
    try (RawHttpClient client = new RawHttpClient(address)) {
      client.request("GET", CONFIGURATION, "");
      call = nextCall();
      assertEquals(1, onLoop(server::pendingCalls));
    }
    while (onLoop(server::pendingCalls) > 0) {
      Thread.onSpinWait();
    }
    answer(call, 200, "{}");
    assertEquals(404, exchange("GET", "/", "").status());
  }

  @Test
  void connectionIsClosedAtTheClientsRequest() throws Exception {
    try (RawHttpClient client = new RawHttpClient(address)) {
      client.request("GET", CONFIGURATION, "Connection: close\r\n", "");
      answer(nextCall(), 200, "{}");
      assertEquals("close", client.read().fields().get("connection"));
      assertTrue(client.isClosedByServer());
    }
  }

  @Test
  void bodyAboveTheLimitIsRejected() throws Exception {
    assertEquals(413, exchange("PUT", CONFIGURATION, "x".repeat(10_001)).status());
    assertTrue(received.isEmpty());
  }

  @Test
  void undecodableBytesAreRejectedAndTheConnectionClosed() throws Exception {
    try (RawHttpClient client = new RawHttpClient(address)) {
      client.write("this is no request\r\n\r\n");
      assertEquals(400, client.read().status());
      assertTrue(client.isClosedByServer());
    }
  }

  @Test
  void incompleteRequestTimesOut() throws Exception {
    listenWithShortTimeouts();
    try (RawHttpClient headOnly = new RawHttpClient(address);
        RawHttpClient bodyCut = new RawHttpClient(address)) {
      headOnly.write("GET /nettletrail/config HTTP/1.1\r\nHost: co");
      bodyCut.write("PUT /nettletrail/config HTTP/1.1\r\nContent-Length: 9\r\n\r\nx");
      assertTrue(headOnly.isClosedByServer());
      assertTrue(bodyCut.isClosedByServer());
    }
  }

  @Test
  void idleConnectionTimesOutButNotOneThatWaitsForItsAnswer() throws Exception {
    listenWithShortTimeouts();
    try (RawHttpClient idle = new RawHttpClient(address);
        RawHttpClient waiting = new RawHttpClient(address)) {
      waiting.request("GET", CONFIGURATION, "");
      ReceivedCall call = nextCall();
      assertTrue(idle.isClosedByServer());
      answer(call, 200, "{}");
      assertEquals(200, waiting.read().status());
    }
  }

  @Test
  void connectionsAboveTheLimitAreClosed() throws Exception {
    RawHttpClient[] clients = new RawHttpClient[4];
    try {
      for (int index = 0; index < clients.length; index++) {
        clients[index] = new RawHttpClient(address);
        clients[index].request("GET", CONFIGURATION, "");
        nextCall();
      }
      try (RawHttpClient surplus = new RawHttpClient(address)) {
        assertTrue(surplus.isClosedByServer());
      }
    } finally {
      for (RawHttpClient client : clients) {
        client.close();
      }
    }
  }
}
