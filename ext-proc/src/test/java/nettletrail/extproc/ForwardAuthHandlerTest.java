package nettletrail.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import nettletrail.core.Endpoint;
import nettletrail.decision.Gateway;
import nettletrail.decision.Gateway.Outcome;
import nettletrail.extproc.ExtProcTestServer.ScriptedGateway;
import nettletrail.site.Ledger;
import nettletrail.site.StandInBackend;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Decision requests and outcomes over HTTP, as sent by proxies with forward-auth or auth_request.
 */
@Timeout(60)
class ForwardAuthHandlerTest {
  private static final long NODE = Endpoint.idOf("s-1");

  @TempDir private Path folder;
  private ExtProcTestServer server;
  private StandInBackend backend;

  @BeforeEach
  void make() {
    server = new ExtProcTestServer(folder);
    backend =
        new StandInBackend("s-1", server.group, new Ledger(), StandInBackend.Manner.good(1), 1);
    server.agent.set("s-1", backend.address(), "SERVING", 0);
  }

  @AfterEach
  void end() {
    backend.close();
    server.close();
  }

  private record Answer(int status, Map<String, String> headers, String body) {}

  private final class Caller implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;

    Caller() throws IOException {
      socket = new Socket(server.http().getAddress(), server.http().getPort());
      socket.setSoTimeout(10_000);
      in = new BufferedInputStream(socket.getInputStream());
    }

    Caller write(String method, String uri, Map<String, String> headers) throws IOException {
      StringBuilder text = new StringBuilder(method + " " + uri + " HTTP/1.1\r\nHost: gw\r\n");
      headers.forEach(
          (name, value) -> text.append(name.startsWith(":") ? "" : name + ": " + value + "\r\n"));
      socket.getOutputStream().write((text + "\r\n").getBytes(StandardCharsets.US_ASCII));
      return this;
    }

    Answer read() throws IOException {
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int next = in.read();
        assertTrue(next >= 0, "ended after '" + head + "'");
        head.append((char) next);
      }
      Map<String, String> headers = new HashMap<>();
      String[] lines = head.toString().split("\r\n");
      for (int i = 1; i < lines.length; i++) {
        int colon = lines[i].indexOf(':');
        headers.put(
            lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
            lines[i].substring(colon + 1).strip());
      }
      byte[] body = in.readNBytes(Integer.parseInt(headers.get("content-length")));
      return new Answer(
          Integer.parseInt(lines[0].split(" ")[1]),
          headers,
          new String(body, StandardCharsets.UTF_8));
    }

    Answer call(String method, String uri, Map<String, String> headers) throws IOException {
      return write(method, uri, headers).read();
    }

    Answer outcome(String id, String how) throws IOException {
      return call(
          "POST",
          "/v1/outcome",
          Map.of(
              "X-Txn", ExtProcTestServer.txn(id), "X-Gateway-Outcome", how, "X-Quota-Used", "17"));
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  @Test
  void forwardNamesEndpointAndOutcomeIsReportedSeparately() throws Exception {
    ScriptedGateway module = new ScriptedGateway(NODE);
    server.start(module.module());
    try (Caller caller = new Caller()) {
      Map<String, String> order =
          ExtProcTestServer.with(ExtProcTestServer.submit("a1"), "X-Forwarded-Method", "POST");
      Answer forward = caller.call("GET", "/v1/ask", order);
      assertEquals(200, forward.status());
      assertEquals("forward", forward.headers().get("x-gateway-decision"));
      assertEquals(
          "127.0.0.1:" + backend.address().getPort(),
          forward.headers().get("x-gateway-destination-endpoint"));
      module.expectCall(Gateway.Request.class);
      assertEquals(200, caller.outcome("a1", "200").status());
      Gateway.AttemptReport report = module.expectCall(Gateway.AttemptReport.class);
      assertEquals(Outcome.OK, report.outcome());
      assertEquals(17, report.quotaUsedPercent());
      assertEquals(409, caller.outcome("a1", "500").status(), "reported before");
      assertEquals(404, caller.outcome("a2", "200").status(), "never forwarded");
      Answer again = caller.call("GET", "/v1/ask", order);
      assertEquals(502, again.status());
      assertTrue(again.body().contains("may have run"), again.body());
      assertEquals(400, caller.outcome("a1", "sideways").status());
      assertTrue(module.calls.isEmpty());
      Answer counts = caller.call("GET", "/v1/counts", Map.of());
      assertTrue(counts.body().contains("\"forwarded\":1"), counts.body());
    }
  }

  @Test
  void namedOutcomesReachModule() throws Exception {
    ScriptedGateway module = new ScriptedGateway(NODE);
    server.start(module.module());
    try (Caller caller = new Caller()) {
      for (String[] each :
          new String[][] {
            {"b1", "not-sent", "NEVER_SENT"},
            {"b2", "connect-failed", "CONNECT_FAILED"},
            {"b3", "reset", "RESET"},
            {"b4", "timed-out", "TIMED_OUT"}
          }) {
        assertEquals(
            200, caller.call("GET", "/v1/ask", ExtProcTestServer.submit(each[0])).status());
        module.expectCall(Gateway.Request.class);
        assertEquals(200, caller.outcome(each[0], each[1]).status());
        assertEquals(
            Outcome.valueOf(each[2]), module.expectCall(Gateway.AttemptReport.class).outcome());
      }
    }
  }

  /** nginx's auth_request supports only 2xx, 401 and 403; the actual status is in a header. */
  @Test
  void refusalIs403OnRequestWithStatusInHeader() throws Exception {
    ScriptedGateway module = new ScriptedGateway(0);
    server.start(module.module());
    try (Caller caller = new Caller()) {
      caller.write("GET", "/v1/ask?deny=403", ExtProcTestServer.submit("a1"));
      long id = module.expectCall(Gateway.Request.class).id();
      module.onLoop(server, actions -> actions.reject(id, 3_000_000_000L));
      Answer rejection = caller.read();
      assertEquals(403, rejection.status());
      assertEquals("429", rejection.headers().get("x-gateway-status"));
      assertEquals("3", rejection.headers().get("retry-after"));
    }
  }

  @Test
  void errorIsNamedAndConnectionStaysOpen() throws Exception {
    server.start(new ScriptedGateway(NODE).module());
    try (Caller caller = new Caller()) {
      Answer lane =
          caller.call(
              "GET",
              "/v1/ask",
              ExtProcTestServer.with(ExtProcTestServer.submit("a1"), "x-lane", "none"));
      assertEquals(400, lane.status());
      assertTrue(lane.body().contains("X-Lane: it must name a class"), lane.body());
      Answer method =
          caller.call(
              "GET",
              "/v1/ask",
              ExtProcTestServer.with(ExtProcTestServer.submit("a1"), "X-Forwarded-Method", "GET"));
      assertTrue(
          method.body().contains("the method of class order-submit must be POST"), method.body());
      assertEquals(404, caller.call("GET", "/", Map.of()).status());
      assertEquals(200, caller.call("GET", "/v1/ask", ExtProcTestServer.submit("a1")).status());
    }
  }

  @Test
  void closeBeforeDecisionReleasesRequest() throws Exception {
    ScriptedGateway module = new ScriptedGateway(0);
    server.with("budget_ms", 1_000L).with("reserve_ms", 10L).start(module.module());
    long id;
    try (Caller caller = new Caller()) {
      caller.write("GET", "/v1/ask", ExtProcTestServer.submit("a1"));
      id = module.expectCall(Gateway.Request.class).id();
    }
    assertEquals(id, module.expectCall(Long.class));
  }

  /** Pipelined requests on one connection are answered in order. */
  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws Exception {
    ScriptedGateway module = new ScriptedGateway(0);
    server.with("budget_ms", 1_000L).with("reserve_ms", 10L).start(module.module());
    try (Caller caller = new Caller()) {
      caller
          .write("GET", "/v1/ask", ExtProcTestServer.submit("a1"))
          .write("GET", "/v1/ask", ExtProcTestServer.submit("a2"));
      long first = module.expectCall(Gateway.Request.class).id();
      assertNull(module.calls.peek(), "the second waits");
      module.onLoop(server, actions -> actions.reject(first, 0));
      long second = module.expectCall(Gateway.Request.class).id();
      module.onLoop(server, actions -> actions.send(second, NODE, 0));
      assertEquals(429, caller.read().status());
      assertEquals(200, caller.read().status());
    }
  }

  private void assertRejected(String text, int status, String expectedText) throws Exception {
    try (Caller caller = new Caller()) {
      caller.socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      Answer answer = caller.read();
      assertEquals(status, answer.status(), text);
      assertTrue(answer.body().contains(expectedText), answer.body());
    }
  }

  private static String authRequest(String more) {
    StringBuilder text =
        new StringBuilder("GET /v1/ask HTTP/1.1\r\nHost: gw\r\nX-Forwarded-Method: POST\r\n");
    ExtProcTestServer.submit("a1")
        .forEach(
            (name, value) -> text.append(name.startsWith(":") ? "" : name + ": " + value + "\r\n"));
    return text + more + "\r\n";
  }

  /**
   * As at the front door: a head that two parsers could interpret differently is rejected and never
   * reaches the module.
   */
  @Test
  void ambiguousHeadsAreRejected() throws Exception {
    ScriptedGateway module = new ScriptedGateway(NODE);
    server.start(module.module());
    for (String name :
        java.util.List.of(
            "X-Txn",
            "X-Customer",
            "X-Lane",
            "X-Plan",
            "X-Quota",
            "X-Remaining-Ms",
            "Host",
            "X-Forwarded-Method")) {
      assertRejected(
          authRequest((name.equals("X-Plan") ? "x-plan" : name) + ": 1\r\n"),
          400,
          name + " is there twice");
    }
    assertRejected(
        authRequest("Authorization: Bearer a\r\nAuthorization: Bearer b\r\n"),
        400,
        "Authorization is there twice");
    assertRejected(authRequest("X-Original-Method: GET\r\n"), 400, "method or path is there twice");
    assertRejected(authRequest(" folded\r\n"), 400, "white space");
    assertRejected(authRequest("").replace("\r\nHost", "\r\n Host"), 400, "white space");
    assertRejected(authRequest("").replace("Host: gw\r\n", ""), 400, "Host is missing");
    assertRejected(authRequest("").replace("HTTP/1.1", "HTTP/2.0"), 505, "HTTP/1.1");
    assertRejected("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505, "HTTP/1.1");
    assertRejected(authRequest("").replace("/v1/ask", "*"), 400, "target");
    assertTrue(module.calls.isEmpty());
  }

  /** A HEAD response has no body; otherwise the client would read the body as the next response. */
  @Test
  void headRequestGetsNoBody() throws Exception {
    server.start(new ScriptedGateway(0).module());
    try (Caller caller = new Caller()) {
      caller
          .socket
          .getOutputStream()
          .write(
              ("HEAD /else HTTP/1.1\r\nHost: gw\r\n\r\n" + "GET /else HTTP/1.1\r\nHost: gw\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        head.append((char) caller.in.read());
      }
      assertTrue(head.toString().startsWith("HTTP/1.1 404"), head.toString());
      assertEquals(404, caller.read().status());
    }
  }
}
