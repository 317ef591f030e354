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
import nettletrail.fleet.http.HttpCaller.Answer;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(value = 60, unit = TimeUnit.SECONDS)
class ControlServerTest {
  private static final long PATIENCE_SECONDS = 20;
  private static final String BACKEND = "/nettletrail/backends/i-7f3a";
  private static final String CONFIGURATION = "/nettletrail/config";
  private static final String HEARTBEAT =
"""
{"carrier":"huvo","address":"10.128.0.9:8080","zone":"hall-a","edition":"v1","berths":32,
 "state":"open_for_mail","cold_left_ms":12.5,"stage":"either_way",
 "models":[{"name":"m","edition":1,"adapters":[]},{"name":"n"}],"later":{"a":[1]},"call_seq":4}
""";

  /** A call as it was handed over. */
  private record Taken(long call, String method, Backend backend, String ifMatch, String body) {}

  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final BlockingQueue<Taken> taken = new LinkedBlockingQueue<>();
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

  /** For tests of the time-outs themselves; short ones would end other tests on a busy machine. */
  private void listenWithShortTimeouts() throws Exception {
    server.close();
    listen(new ControlSettings(4, 2048, 10_000, 3, 300, 600));
  }

  @AfterEach
  void close() {
    server.close();
    group
        .shutdownGracefully(0, 1, TimeUnit.SECONDS)
        .awaitUninterruptibly(PATIENCE_SECONDS, TimeUnit.SECONDS);
  }

  private final class RecordingCalls implements ControlCalls {
    @Override
    public void backend(long call, String method, Backend backend) {
      taken.add(new Taken(call, method, backend, "", ""));
    }

    @Override
    public void configuration(long call, String method, String ifMatch, byte[] body) {
      String text = new String(body, StandardCharsets.UTF_8);
      taken.add(new Taken(call, method, null, ifMatch, text));
    }

    @Override
    public void status(long call, String resource) {
      taken.add(new Taken(call, "STATUS", null, "", resource));
    }
  }

  private Taken take() throws InterruptedException {
    Taken call = taken.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    assertNotNull(call);
    return call;
  }

  private <T> T onLoop(Callable<T> task) throws Exception {
    return group.next().submit(task).get(PATIENCE_SECONDS, TimeUnit.SECONDS);
  }

  private void answer(Taken call, int status, String json) throws Exception {
    answer(call, status, json, ControlAnswer.ALWAYS);
  }

  private void answer(Taken call, int status, String json, long validUntil) throws Exception {
    onLoop(
        () -> {
          server.answer(call.call(), status, json.getBytes(StandardCharsets.UTF_8), validUntil);
          return null;
        });
  }

  private Answer exchange(String method, String target, String body) throws Exception {
    try (HttpCaller caller = new HttpCaller(address)) {
      caller.request(method, target, body);
      return caller.read();
    }
  }

  @Test
  void statusCallIsHandedOverAndMayBeRedirected() throws Exception {
    try (HttpCaller caller = new HttpCaller(address)) {
      caller.request("GET", "/nettletrail/status/quota/north%20a", "");
      Taken call = take();
      assertEquals("quota/north a", call.body());
      onLoop(
          () -> {
            server.redirect(call.call(), "http://127.0.0.1:1/elsewhere");
            return null;
          });
      Answer answer = caller.read();
      assertEquals(307, answer.status());
      assertEquals("http://127.0.0.1:1/elsewhere", answer.fields().get("location"));
    }
    assertEquals(405, exchange("POST", "/nettletrail/status/doors", "{}").status());
  }

  @Test
  void heartbeatIsHandedOverWithAllItsFields() throws Exception {
    try (HttpCaller caller = new HttpCaller(address)) {
      caller.request("PUT", BACKEND, HEARTBEAT);
      Taken call = take();
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
      Answer answer = caller.read();
      assertEquals(200, answer.status());
      assertEquals("{}", answer.body());
      assertEquals("application/json", answer.fields().get("content-type"));
    }
  }

  @Test
  void closingAndOptionalFieldsAreUnderstood() throws Exception {
    try (HttpCaller caller = new HttpCaller(address)) {
      caller.request(
          "PUT",
          BACKEND,
          "{\"carrier\":\"s\",\"address\":\"10.0.0.1:1\",\"state\":\"closing\",\"call_seq\":9,"
              + "\"stage\":null}");
      Backend backend = take().backend();
      assertEquals(BackendState.CLOSING, backend.getState());
      assertEquals(9L, backend.getCallSequence());
      assertEquals(1, backend.getSlots());
      assertEquals("", backend.getStage());
    }
  }

  @Test
  void deleteSaysGoneWithTheHighestCallSequenceOrTheOneNamed() throws Exception {
    try (HttpCaller caller = new HttpCaller(address)) {
      caller.request("DELETE", BACKEND, "");
      caller.request("DELETE", BACKEND + "?call_seq=17", "");
      Backend first = take().backend();
      assertEquals(BackendState.GONE, first.getState());
      assertEquals("i-7f3a", first.getId());
      assertEquals(ControlCalls.FINAL_CALL_SEQUENCE, first.getCallSequence());
      assertEquals(17L, take().backend().getCallSequence());
    }
  }

  @Test
  void configurationCallsCarryEditionAndBody() throws Exception {
    String[][] table = {
      {"PUT", "If-Match: 5\r\n", "5"},
      {"PUT", "If-Match: \"5\"\r\n", "5"},
      {"PATCH", "if-match: W/\"7\"\r\n", "7"},
      {"PATCH", "", ""},
      {"GET", "", ""},
    };
    for (String[] row : table) {
      try (HttpCaller caller = new HttpCaller(address)) {
        String body = row[0].equals("GET") ? "" : "{\"edition\":8}";
        caller.request(row[0], CONFIGURATION, row[1], body);
        Taken call = take();
        assertEquals(row[0], call.method());
        assertEquals(row[2], call.ifMatch());
        assertEquals(body, call.body());
        answer(call, 412, "{\"error\":\"edition\"}");
        Answer answer = caller.read();
        assertEquals(412, answer.status());
        assertEquals("{\"error\":\"edition\"}", answer.body());
      }
    }
  }

  @Test
  void callsThatCannotBeUnderstoodAreRefusedWithAReason() throws Exception {
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
      Answer answer = exchange(row[0], row[1], row[2]);
      String call = String.join(" ", row);
      assertEquals(Integer.parseInt(row[3]), answer.status(), call);
      assertTrue(answer.body().startsWith("{\"error\":\""), call);
      assertTrue(answer.body().length() < 4096, call);
    }
    assertTrue(taken.isEmpty());
  }

  @Test
  void wrongMethodNamesThoseAllowed() throws Exception {
    assertEquals("PUT, DELETE", exchange("GET", BACKEND, "").fields().get("allow"));
    assertEquals("GET, PUT, PATCH", exchange("POST", CONFIGURATION, "").fields().get("allow"));
  }

  @Test
  void readinessFollowsWhatIsSet() throws Exception {
    assertEquals(503, exchange("GET", "/nettletrail/ready", "").status());
    onLoop(
        () -> {
          server.setReady(true);
          return null;
        });
    assertEquals(200, exchange("GET", "/nettletrail/ready", "").status());
  }

  @Test
  void pipelinedCallsAreAnsweredInTheirOrder() throws Exception {
    try (HttpCaller caller = new HttpCaller(address)) {
      caller.request("GET", CONFIGURATION, "");
      caller.request("GET", "/nettletrail/nowhere", "");
      caller.request("GET", CONFIGURATION, "");
      Taken first = take();
      Taken second = take();
      answer(second, 200, "{\"call\":2}");
      answer(first, 200, "{\"call\":1}");
      assertEquals("{\"call\":1}", caller.read().body());
      assertEquals(404, caller.read().status());
      assertEquals("{\"call\":2}", caller.read().body());
      caller.request("GET", CONFIGURATION, "");
      answer(take(), 200, "{\"call\":3}");
      assertEquals("{\"call\":3}", caller.read().body());
    }
  }

  @Test
  void answerThatWaitsForAnEarlierOneIsNotWrittenOnceItIsValidNoMore() throws Exception {
    long validUntil = 1_000;
    clock.set(validUntil - 1);
    try (HttpCaller caller = new HttpCaller(address)) {
      caller.request("GET", CONFIGURATION, "");
      caller.request("GET", CONFIGURATION, "");
      Taken first = take();
      Taken second = take();
      answer(second, 200, "{\"call\":2}", validUntil);
      clock.set(validUntil);
      answer(first, 200, "{\"call\":1}", validUntil + 1);
      assertEquals("{\"call\":1}", caller.read().body());
      assertEquals(503, caller.read().status());
    }
  }

  @Test
  void noMorePipelinedCallsAreTakenThanTheBound() throws Exception {
    try (HttpCaller caller = new HttpCaller(address)) {
      String request = "GET " + CONFIGURATION + " HTTP/1.1\r\nHost: core\r\n\r\n";
      caller.write(request.repeat(5));
      Taken first = take();
      take();
      take();
      assertEquals(3, onLoop(server::openCalls));
      answer(first, 200, "{}");
      take();
      assertEquals(3, onLoop(server::openCalls));
      assertTrue(taken.isEmpty());
    }
  }

  @Test
  void callerThatLeavesIsForgottenAndALateAnswerDropped() throws Exception {
    Taken call;
    try (HttpCaller caller = new HttpCaller(address)) {
      caller.request("GET", CONFIGURATION, "");
      call = take();
      assertEquals(1, onLoop(server::openCalls));
    }
    while (onLoop(server::openCalls) > 0) {
      Thread.onSpinWait();
    }
    answer(call, 200, "{}");
    assertEquals(404, exchange("GET", "/", "").status());
  }

  @Test
  void callerThatAsksForItGetsItsConnectionClosed() throws Exception {
    try (HttpCaller caller = new HttpCaller(address)) {
      caller.request("GET", CONFIGURATION, "Connection: close\r\n", "");
      answer(take(), 200, "{}");
      assertEquals("close", caller.read().fields().get("connection"));
      assertTrue(caller.isClosedByServer());
    }
  }

  @Test
  void bodyAboveTheBoundIsRefused() throws Exception {
    assertEquals(413, exchange("PUT", CONFIGURATION, "x".repeat(10_001)).status());
    assertTrue(taken.isEmpty());
  }

  @Test
  void bytesThatAreNoRequestAreRefusedAndTheConnectionClosed() throws Exception {
    try (HttpCaller caller = new HttpCaller(address)) {
      caller.write("this is no request\r\n\r\n");
      assertEquals(400, caller.read().status());
      assertTrue(caller.isClosedByServer());
    }
  }

  @Test
  void requestThatDoesNotEndClosesItsConnection() throws Exception {
    listenWithShortTimeouts();
    try (HttpCaller headOnly = new HttpCaller(address);
        HttpCaller bodyCut = new HttpCaller(address)) {
      headOnly.write("GET /nettletrail/config HTTP/1.1\r\nHost: co");
      bodyCut.write("PUT /nettletrail/config HTTP/1.1\r\nContent-Length: 9\r\n\r\nx");
      assertTrue(headOnly.isClosedByServer());
      assertTrue(bodyCut.isClosedByServer());
    }
  }

  @Test
  void restingConnectionIsClosedButNotOneThatWaitsForItsAnswer() throws Exception {
    listenWithShortTimeouts();
    try (HttpCaller resting = new HttpCaller(address);
        HttpCaller waiting = new HttpCaller(address)) {
      waiting.request("GET", CONFIGURATION, "");
      Taken call = take();
      assertTrue(resting.isClosedByServer());
      answer(call, 200, "{}");
      assertEquals(200, waiting.read().status());
    }
  }

  @Test
  void connectionsAboveTheBoundAreClosed() throws Exception {
    HttpCaller[] callers = new HttpCaller[4];
    try {
      for (int index = 0; index < callers.length; index++) {
        callers[index] = new HttpCaller(address);
        callers[index].request("GET", CONFIGURATION, "");
        take();
      }
      try (HttpCaller surplus = new HttpCaller(address)) {
        assertTrue(surplus.isClosedByServer());
      }
    } finally {
      for (HttpCaller caller : callers) {
        caller.close();
      }
    }
  }
}
