package nettletrail.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import nettletrail.core.Endpoint;
import nettletrail.core.SettingsSection;
import nettletrail.decision.Gateway;
import nettletrail.proxy.Messages;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What proxies read of the external processor and write for it, and the keys of its section. */
@Timeout(60)
class ExtProcFormTest {
  private static final long NODE = Endpoint.idOf("s-1");

  @TempDir private Path folder;
  private final List<String> lines = new ArrayList<>();
  private ExtProcTestServer.ScriptedGateway module = new ExtProcTestServer.ScriptedGateway(NODE);

  /** Compares with the approved text; what was found is left in the build's folder. */
  private void verify(String name) throws Exception {
    String found = String.join("\n", lines) + "\n";
    Files.createDirectories(Path.of("target", "outer-forms"));
    Files.writeString(Path.of("target", "outer-forms", name), found);
    Path approved = Path.of("src", "test", "resources", "outer-forms", name);
    assertEquals(Files.exists(approved) ? Files.readString(approved) : "", found, name);
  }

  private ExtProcTestServer start() throws Exception {
    ExtProcTestServer server = new ExtProcTestServer(folder);
    server.agent.set("s-1", new java.net.InetSocketAddress("127.0.0.1", 7), "SERVING", 0);
    return server.with("budget_ms", 1_000L).start(module.module());
  }

  private String describeNextCall() throws InterruptedException {
    Object next = module.calls.poll(10, TimeUnit.SECONDS);
    assertNotNull(next);
    return next instanceof Gateway.AttemptReport answer
        ? "  told outcome "
            + answer.outcome().ordinal()
            + " used "
            + answer.quotaUsedPercent()
            + " charged "
            + answer.actualUnits()
        : "  told of a request";
  }

  /** The answer as it comes over HTTP; prose is left out. */
  private void call(
      ExtProcTestServer server, String method, String uri, Map<String, String> headers)
      throws Exception {
    StringBuilder text =
        new StringBuilder(method + " " + uri + " HTTP/1.1\r\nHost: gw\r\nConnection: close\r\n");
    headers.forEach(
        (name, value) -> text.append(name.startsWith(":") ? "" : name + ": " + value + "\r\n"));
    try (Socket socket = new Socket(server.http().getAddress(), server.http().getPort())) {
      socket.setSoTimeout(10_000);
      socket.getOutputStream().write((text + "\r\n").getBytes(StandardCharsets.US_ASCII));
      String[] parts =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
              .split("\r\n\r\n", 2);
      boolean prose = parts[0].contains("text/plain");
      lines.add("== " + method + " " + uri);
      for (String line : parts[0].split("\r\n")) {
        lines.add(
            line.startsWith("content-length") && prose
                ? "content-length: N"
                : line.replaceAll("(?i)(x-remaining-ms: )\\d+", "$1N"));
      }
      lines.add(prose ? "  prose" : "  " + parts[1]);
    }
  }

  private static Map<String, String> outcome(String id, String how) {
    return new LinkedHashMap<>(
        Map.of(
            "X-Txn",
            ExtProcTestServer.txn(id),
            "X-Gateway-Outcome",
            how,
            "X-Quota-Used",
            "17",
            "X-Units-Charged",
            "1.5"));
  }

  @Test
  void httpAsksAndOutcomesHaveTheirNames() throws Exception {
    try (ExtProcTestServer server = start()) {
      List<String> hows =
          List.of(
              "200", "500", "503", "not-sent", "connect-failed", "reset", "timed-out", "cancelled");
      for (String how : hows) {
        String id = "a" + hows.indexOf(how);
        call(
            server,
            "GET",
            "/v1/ask",
            ExtProcTestServer.with(ExtProcTestServer.submit(id), "X-Forwarded-Method", "POST"));
        lines.add(describeNextCall());
        lines.add("outcome " + how);
        Map<String, String> more = outcome(id, how);
        if (how.equals("503")) {
          more.put("X-Turned-Away", "1");
        }
        call(server, "POST", "/v1/outcome", more);
        lines.add(describeNextCall());
      }
      for (String header :
          List.of(
              "X-Forwarded-Uri",
              "X-Original-URI",
              "X-Forwarded-Method",
              "X-Original-Method",
              "X-Gateway-Outcome",
              "x-envoy-attempt-count")) {
        lines.add(header + " is read: twice it is a fault");
        call(
            server,
            "GET",
            "/v1/ask",
            ExtProcTestServer.with(
                ExtProcTestServer.status("c" + header.length()), header, "1\r\n" + header + ": 1"));
      }
      Map<String, String> both =
          ExtProcTestServer.with(ExtProcTestServer.submit("d1"), "X-Original-Method", "POST");
      call(server, "GET", "/v1/ask", ExtProcTestServer.with(both, "X-Original-URI", "/api/y"));
      call(server, "POST", "/v1/outcome", outcome("d1", "200"));
      call(server, "GET", "/v1/ask?deny=403", Map.of());
      call(server, "POST", "/v1/outcome", outcome("a0", "200"));
      call(server, "POST", "/v1/outcome", outcome("e9", "200"));
      call(
          server,
          "GET",
          "/v1/ask",
          ExtProcTestServer.with(ExtProcTestServer.submit("a0"), "X-Forwarded-Method", "POST"));
      call(server, "GET", "/v1/other", Map.of());
      call(server, "GET", "/v1/counts", Map.of());
    }
    verify("ext-proc-http.txt");
  }

  @Test
  void refusalsHaveTheirHeads() throws Exception {
    module =
        new ExtProcTestServer.ScriptedGateway(0) {
          @Override
          public void onRequest(long now, Request request) {
            actions.reject(request.id(), 1_500_000_000L);
          }
        };
    try (ExtProcTestServer server = start()) {
      call(
          server,
          "GET",
          "/v1/ask",
          ExtProcTestServer.with(ExtProcTestServer.submit("a1"), "X-Forwarded-Method", "POST"));
      add(
          "refused",
          new TestProxyStream(server.connection())
              .sendRequestHeaders(ExtProcTestServer.submit("a2"))
              .next());
    }
    verify("ext-proc-refusals.txt");
  }

  private void add(String what, ProcessingResponse answer) {
    lines.add("== " + what);
    String[] parts = answer.toString().split("\n");
    for (int i = 0; i < parts.length; i++) {
      String line =
          i > 0 && parts[i - 1].contains("x-remaining-ms")
              ? parts[i].replaceAll("\\d+", "N")
              : parts[i];
      lines.add(line.replaceAll("( body: ).*", "$1prose"));
    }
  }

  @Test
  void grpcAnswersHaveTheirHeaders() throws Exception {
    try (ExtProcTestServer server = start()) {
      TestProxyStream unsafe = new TestProxyStream(server.connection());
      add(
          "forward, not to be repeated",
          unsafe.sendRequestHeaders(ExtProcTestServer.submit("a1")).next());
      lines.add(describeNextCall());
      add("its answer", unsafe.outcome(503, "x-quota-used", "17", "x-units-charged", "1.5").next());
      lines.add(describeNextCall());
      add(
          "forward",
          new TestProxyStream(server.connection())
              .sendRequestHeaders(ExtProcTestServer.status("a2"))
              .next());
      lines.add(describeNextCall());
      TestProxyStream full = new TestProxyStream(server.connection());
      full.sendRequestHeaders(ExtProcTestServer.submit("a3")).next();
      lines.add(describeNextCall());
      add("turned away", full.outcome(504, "x-turned-away", "1").next());
      lines.add(describeNextCall());
      add(
          "a path",
          new TestProxyStream(server.connection())
              .sendRequestHeaders(
                  ExtProcTestServer.with(ExtProcTestServer.submit("a4"), ":method", "GET"))
              .next());
      int number = 0;
      for (String header : new TreeSet<>(ExtProcTestServer.submit("b1").keySet())) {
        Map<String, String> good = ExtProcTestServer.submit("b" + number++);
        TestProxyStream stream = new TestProxyStream(server.connection());
        ProcessingResponse answer =
            stream.sendRequestHeaders(ExtProcTestServer.with(good, header, null)).next();
        boolean forwarded = answer.hasRequestHeaders();
        lines.add(
            "without "
                + header
                + ": "
                + (forwarded
                    ? "forward"
                    : answer.getImmediateResponse().getStatus().getCodeValue()));
        if (forwarded) {
          lines.add(describeNextCall());
          stream.outcome(200).next();
          lines.add(describeNextCall());
        }
      }
      List<String> details =
          List.of(
              "no_healthy_upstream",
              "upstream_reset_before_response_started{connection_failure}",
              "upstream_reset_before_response_started{connection_termination}",
              "response_timeout",
              "via_upstream");
      for (String detail : details) {
        TestProxyStream stream = new TestProxyStream(server.connection());
        stream.sendRequestHeaders(ExtProcTestServer.submit("c" + details.indexOf(detail))).next();
        describeNextCall();
        stream.send(Messages.responseHeaders(Map.of(":status", "503"), detail)).next();
        lines.add(detail + describeNextCall());
      }
    }
    verify("ext-proc-grpc.txt");
  }

  @Test
  void sectionHasItsKeys() throws Exception {
    SettingsSection section = ExtProcSettings.section();
    section
        .keys()
        .forEach(
            each ->
                lines.add(
                    section.name()
                        + "."
                        + each.name()
                        + " = "
                        + each.defaultValue()
                        + ", kind "
                        + each.kind().ordinal()
                        + " from "
                        + each.min()
                        + " to "
                        + each.max()));
    ExtProcSettings.of(section.read(Map.of(), fault -> lines.add("fault " + fault.key())));
    verify("ext-proc-settings.txt");
  }
}
