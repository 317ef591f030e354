package nettletrail.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import java.nio.file.Path;
import java.util.Map;
import nettletrail.core.Endpoint;
import nettletrail.decision.Gateway;
import nettletrail.decision.Gateway.Outcome;
import nettletrail.extproc.ExtProcTestServer.ScriptedGateway;
import nettletrail.proxy.Messages;
import nettletrail.site.Ledger;
import nettletrail.site.StandInBackend;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * gRPC decision requests that are repeated, aborted or get excess outcomes; a scripted module
 * decides.
 */
@Timeout(60)
class ExtProcStreamTest {
  private static final long NODE = Endpoint.idOf("s-1");

  @TempDir private Path folder;
  private ExtProcTestServer server;
  private StandInBackend backend;
  private final Ledger ledger = new Ledger();

  @BeforeEach
  void make() {
    server = new ExtProcTestServer(folder);
    backend = new StandInBackend("s-1", server.group, ledger, StandInBackend.Manner.good(1), 1);
    server.agent.set("s-1", backend.address(), "SERVING", 0);
  }

  @AfterEach
  void end() {
    backend.close();
    server.close();
  }

  private String node() {
    return "127.0.0.1:" + backend.address().getPort();
  }

  // ---- Normal flow
  // -----------------------------------------------------------------------------------

  @Test
  void decisionNamesEndpointInHeadersAndMetadataAndOutcomeReachesModule() throws Exception {
    ScriptedGateway module = new ScriptedGateway(NODE);
    server.start(module.module());
    TestProxyStream stream =
        new TestProxyStream(server.connection()).sendRequestHeaders(ExtProcTestServer.submit("a1"));
    ProcessingResponse decision = stream.next();
    assertEquals(node(), Messages.set(decision, "x-gateway-destination-endpoint"));
    assertEquals(node(), Messages.set(decision, "x-envoy-original-dst-host"));
    assertEquals("0", Messages.set(decision, "x-envoy-max-retries"));
    long remaining = Long.parseLong(Messages.set(decision, "x-remaining-ms"));
    assertTrue(remaining > 2_000 && remaining <= 3_000, "" + remaining);
    assertEquals(
        node(),
        decision
            .getDynamicMetadata()
            .getFieldsOrThrow("envoy.lb")
            .getStructValue()
            .getFieldsOrThrow("x-gateway-destination-endpoint")
            .getStringValue());
    Gateway.Request request = module.expectCall(Gateway.Request.class);
    assertEquals(1, request.requestClass());
    assertEquals(10_000_000L, request.maxQueueNanos(), "budget less reserve");
    stream.outcome(
        200,
        "x-quota-used",
        "42",
        "x-units-charged",
        "3.5",
        "x-pressure",
        "pending=4,cpu_share=0.5");
    assertTrue(stream.next().hasResponseHeaders());
    Gateway.AttemptReport answer = module.expectCall(Gateway.AttemptReport.class);
    assertEquals(Outcome.OK, answer.outcome());
    assertTrue(answer.requestEnded());
    assertEquals(42, answer.quotaUsedPercent());
    assertEquals(3.5, answer.actualUnits());
    assertEquals(4, answer.load().queuedRequests());
    stream.complete();
    assertEquals(Status.Code.OK, stream.end().getCode());
  }

  @Test
  void safeRequestKeepsProxyRetries() throws Exception {
    server.start(new ScriptedGateway(NODE).module());
    ProcessingResponse decision =
        new TestProxyStream(server.connection())
            .sendRequestHeaders(ExtProcTestServer.status("a1"))
            .next();
    assertNull(Messages.set(decision, "x-envoy-max-retries"));
  }

  @Test
  void refusalCarriesRetryAfterWhenKnown() throws Exception {
    ScriptedGateway module = new ScriptedGateway(0);
    server.start(module.module());
    TestProxyStream stream =
        new TestProxyStream(server.connection()).sendRequestHeaders(ExtProcTestServer.submit("a1"));
    long id = module.expectCall(Gateway.Request.class).id();
    module.onLoop(server, actions -> actions.reject(id, 1_200_000_000L));
    ProcessingResponse answer = stream.next();
    assertEquals(429, answer.getImmediateResponse().getStatus().getCodeValue());
    assertTrue(
        answer.getImmediateResponse().getHeaders().getSetHeadersList().stream()
            .anyMatch(
                header ->
                    header.getHeader().getKey().equals("retry-after")
                        && header.getHeader().getRawValue().toStringUtf8().equals("2")),
        answer.toString());
    assertEquals(Status.Code.OK, stream.end().getCode());
  }

  /**
   * If the module never decides, the request is rejected within its budget and the module is
   * notified of its end.
   */
  @Test
  void undecidedRequestIsRefusedWithinBudget() throws Exception {
    ScriptedGateway module = new ScriptedGateway(0);
    server.start(module.module());
    TestProxyStream stream =
        new TestProxyStream(server.connection()).sendRequestHeaders(ExtProcTestServer.submit("a1"));
    long id = module.expectCall(Gateway.Request.class).id();
    assertEquals(429, stream.expectImmediateStatus());
    assertEquals(id, module.expectCall(Long.class));
  }

  // ---- Repeated requests
  // ------------------------------------------------------------------------------

  /**
   * Repeats an id on the same stream, another stream or another connection, in each state of the
   * first request.
   */
  @ParameterizedTest
  @CsvSource({
    "stream,undecided",
    "stream,forwarded",
    "stream,answered",
    "call,undecided",
    "call,forwarded",
    "call,answered",
    "call,broken",
    "call,turned-away",
    "connection,undecided",
    "connection,forwarded",
    "connection,answered",
    "connection,broken",
    "connection,turned-away"
  })
  void repeatedOrderIsForwardedOnce(String where, String when) throws Exception {
    ScriptedGateway module = new ScriptedGateway(0);
    server.with("budget_ms", 1_000L).with("reserve_ms", 10L).start(module.module());
    ManagedChannel first = server.connection();
    TestProxyStream asked =
        new TestProxyStream(first).sendRequestHeaders(ExtProcTestServer.submit("a1"));
    long id = module.expectCall(Gateway.Request.class).id();
    int forwards = 0;
    if (!when.equals("undecided")) {
      module.onLoop(server, actions -> actions.send(id, NODE, 0));
      assertEquals(node(), asked.expectForward());
      forwards++;
    }
    if (when.equals("answered")) {
      asked.outcome(200).next();
      module.expectCall(Gateway.AttemptReport.class);
    } else if (when.equals("broken")) {
      asked.outcome(503);
      assertEquals(502, asked.expectImmediateStatus(), "503 would signal that a retry is safe");
      assertEquals(Outcome.RESET, module.expectCall(Gateway.AttemptReport.class).outcome());
    } else if (when.equals("turned-away")) {
      asked.outcome(503, "x-turned-away", "1").next();
      assertEquals(Outcome.FULL, module.expectCall(Gateway.AttemptReport.class).outcome());
    }
    Map<String, String> again =
        ExtProcTestServer.with(ExtProcTestServer.submit("a1"), "x-envoy-attempt-count", "2");
    TestProxyStream second =
        where.equals("stream")
            ? asked.sendRequestHeaders(again)
            : new TestProxyStream(where.equals("call") ? first : server.connection())
                .sendRequestHeaders(again);
    if (when.equals("undecided")) {
      if (where.equals("stream")) {
        awaitAskedAgain();
      } else {
        assertEquals(502, asked.expectImmediateStatus(), "superseded");
      }
      module.onLoop(server, actions -> actions.send(id, NODE, 0));
      assertEquals(node(), second.expectForward());
      forwards++;
      second.outcome(200);
      assertTrue(second.next().hasResponseHeaders());
      assertEquals(Outcome.OK, module.expectCall(Gateway.AttemptReport.class).outcome());
    } else {
      assertEquals(when.equals("turned-away") ? 429 : 502, second.expectImmediateStatus());
    }
    assertEquals(1, forwards);
    if (when.equals("forwarded") && !where.equals("stream")) {
      asked.outcome(200).next();
      assertEquals(Outcome.OK, module.expectCall(Gateway.AttemptReport.class).outcome());
    }
    module.calls.removeIf(call -> call instanceof Gateway.AttemptReport);
    assertEquals(0, module.calls.size(), "nothing more reached the module: " + module.calls);
  }

  private void awaitAskedAgain() throws Exception {
    long[] seen = new long[1];
    for (int i = 0; i < 2_000 && seen[0] == 0; i++) {
      server
          .front()
          .processor()
          .runOnLoop(() -> seen[0] = (Long) server.front().counters().get("asked_again"))
          .get();
      Thread.sleep(seen[0] == 0 ? 5 : 0);
    }
    assertEquals(1, seen[0], "the second message was read");
  }

  @Test
  void retryOfUnknownIdIsForwardedOnlyIfSafe() throws Exception {
    server.start(new ScriptedGateway(NODE).module());
    Map<String, String> order =
        ExtProcTestServer.with(ExtProcTestServer.submit("a1"), "x-envoy-attempt-count", "2");
    assertEquals(
        502,
        new TestProxyStream(server.connection()).sendRequestHeaders(order).expectImmediateStatus());
    Map<String, String> look =
        ExtProcTestServer.with(ExtProcTestServer.status("a2"), "x-envoy-attempt-count", "2");
    assertEquals(
        node(), new TestProxyStream(server.connection()).sendRequestHeaders(look).expectForward());
  }

  @Test
  void repeatedSafeRequestIsForwardedAgain() throws Exception {
    server.start(new ScriptedGateway(NODE).module());
    ManagedChannel connection = server.connection();
    assertEquals(
        node(),
        new TestProxyStream(connection)
            .sendRequestHeaders(ExtProcTestServer.status("a1"))
            .expectForward());
    assertEquals(
        node(),
        new TestProxyStream(connection)
            .sendRequestHeaders(ExtProcTestServer.status("a1"))
            .expectForward());
  }

  // ---- Caller cancellation
  // ----------------------------------------------------------------------------

  @Test
  void cancellationBeforeDecisionReleasesRequestAndAllowsRetry() throws Exception {
    ScriptedGateway module = new ScriptedGateway(0);
    server.with("budget_ms", 1_000L).with("reserve_ms", 10L).start(module.module());
    TestProxyStream stream =
        new TestProxyStream(server.connection()).sendRequestHeaders(ExtProcTestServer.submit("a1"));
    long id = module.expectCall(Gateway.Request.class).id();
    stream.cancel();
    assertEquals(
        id,
        module.expectCall(Long.class),
        "the module is told of the end and releases its reservation");
    module.onLoop(server, actions -> actions.send(id, NODE, 0));
    assertEquals(Outcome.NEVER_SENT, module.expectCall(Gateway.AttemptReport.class).outcome());
    Map<String, String> again =
        ExtProcTestServer.with(ExtProcTestServer.submit("a1"), "x-envoy-attempt-count", "2");
    TestProxyStream second = new TestProxyStream(server.connection()).sendRequestHeaders(again);
    long next = module.expectCall(Gateway.Request.class).id();
    module.onLoop(server, actions -> actions.send(next, NODE, 0));
    assertEquals(node(), second.expectForward());
  }

  /**
   * The proxy may have acted on the decision, so the request may have run; its slot is freed after
   * a timeout.
   */
  @ParameterizedTest
  @CsvSource({"cancel", "complete", "connection"})
  void streamLostAfterDecisionCountsAsPossiblyRun(String how) throws Exception {
    ScriptedGateway module = new ScriptedGateway(NODE);
    server.with("orphan_ms", 40L).start(module.module());
    ManagedChannel connection = server.connection();
    TestProxyStream stream =
        new TestProxyStream(connection).sendRequestHeaders(ExtProcTestServer.submit("a1"));
    stream.expectForward();
    module.expectCall(Gateway.Request.class);
    switch (how) {
      case "cancel" -> stream.cancel();
      case "complete" -> stream.complete();
      default -> connection.shutdownNow();
    }
    Gateway.AttemptReport answer = module.expectCall(Gateway.AttemptReport.class);
    assertEquals(Outcome.CANCELLED, answer.outcome());
    assertTrue(answer.outcome().mayHaveRun && answer.requestEnded());
    assertEquals(
        502,
        new TestProxyStream(server.connection())
            .sendRequestHeaders(ExtProcTestServer.submit("a1"))
            .expectImmediateStatus());
  }

  @Test
  void missingOutcomeTimesOutAtDeadlineAndLateOutcomeIsIgnored() throws Exception {
    ScriptedGateway module = new ScriptedGateway(NODE);
    server.start(module.module());
    Map<String, String> hurried =
        ExtProcTestServer.with(ExtProcTestServer.submit("a1"), "x-remaining-ms", "120");
    TestProxyStream stream = new TestProxyStream(server.connection()).sendRequestHeaders(hurried);
    stream.expectForward();
    module.expectCall(Gateway.Request.class);
    assertEquals(Outcome.TIMED_OUT, module.expectCall(Gateway.AttemptReport.class).outcome());
    module.expectCall(Long.class);
    stream.outcome(200);
    assertTrue(stream.next().hasResponseHeaders(), "the client still gets its response");
    long[] late = new long[1];
    server
        .front()
        .processor()
        .runOnLoop(() -> late[0] = (Long) server.front().counters().get("outcomes_late"))
        .get();
    assertEquals(1, late[0]);
    assertTrue(module.calls.isEmpty());
  }

  @Test
  void secondOutcomeIsIgnored() throws Exception {
    ScriptedGateway module = new ScriptedGateway(NODE);
    server.start(module.module());
    TestProxyStream stream =
        new TestProxyStream(server.connection()).sendRequestHeaders(ExtProcTestServer.submit("a1"));
    stream.expectForward();
    module.expectCall(Gateway.Request.class);
    stream.outcome(200).next();
    stream.outcome(500);
    assertTrue(stream.next().hasResponseHeaders());
    assertEquals(Outcome.OK, module.expectCall(Gateway.AttemptReport.class).outcome());
    assertTrue(module.calls.isEmpty());
  }

  @Test
  void outcomeWithoutDecisionIsRejectedWithReason() throws Exception {
    ScriptedGateway module = new ScriptedGateway(0);
    server.with("budget_ms", 1_000L).with("reserve_ms", 10L).start(module.module());
    Status none = new TestProxyStream(server.connection()).outcome(200).end();
    assertEquals(Status.Code.INVALID_ARGUMENT, none.getCode());
    assertTrue(none.getDescription().contains("before request_headers"), none.getDescription());
    TestProxyStream early =
        new TestProxyStream(server.connection()).sendRequestHeaders(ExtProcTestServer.submit("a1"));
    module.expectCall(Gateway.Request.class);
    assertTrue(early.outcome(200).end().getDescription().contains("before the decision"));
    module.expectCall(Long.class);
  }

  /** 429 and 503 signal that a retry is safe, whichever server generates them. */
  @ParameterizedTest
  @CsvSource({
    "503,,,502",
    "429,,,502",
    "503,1,,0",
    "504,1,,503",
    "500,,,0",
    "504,,,0",
    "502,,,0",
    "200,,,0",
    "503,,upstream_reset_before_response_started{connection_failure},0",
    "503,,upstream_reset_before_response_started{connection_termination},502",
    "503,,no_healthy_upstream,0",
    "504,,response_timeout,0"
  })
  void responseNeverSignalsSafeRetryForOrderThatMayHaveRun(
      int status, String turnedAway, String details, int instead) throws Exception {
    server.start(new ScriptedGateway(NODE).module());
    TestProxyStream stream =
        new TestProxyStream(server.connection()).sendRequestHeaders(ExtProcTestServer.submit("a1"));
    stream.expectForward();
    Map<String, String> headers = new java.util.LinkedHashMap<>(Map.of(":status", "" + status));
    if (turnedAway != null) {
      headers.put("x-turned-away", turnedAway);
    }
    stream.send(Messages.responseHeaders(headers, details));
    if (instead == 0) {
      assertTrue(stream.next().hasResponseHeaders());
    } else {
      assertEquals(instead, stream.expectImmediateStatus());
    }
  }

  // ---- Membership changes
  // -----------------------------------------------------------------------------

  /**
   * The module chooses an endpoint that was just removed: it gets NEVER_SENT, and nothing is
   * forwarded.
   */
  @Test
  void concurrentlyDrainingEndpointIsNotForwardedTo() throws Exception {
    ScriptedGateway module = new ScriptedGateway(0);
    server.with("budget_ms", 1_000L).with("reserve_ms", 10L).start(module.module());
    TestProxyStream stream =
        new TestProxyStream(server.connection()).sendRequestHeaders(ExtProcTestServer.submit("a1"));
    long id = module.expectCall(Gateway.Request.class).id();
    module.onLoop(
        server,
        actions -> {
          server
              .front()
              .attemptTransport()
              .endpointsUpdated(
                  false,
                  java.util.List.of(
                      new Endpoint(
                          NODE, "s-1", null, "a", "m1", 1, Gateway.DiscoveryState.DRAINING, 1, 0)));
          actions.send(id, NODE, 0);
        });
    Gateway.AttemptReport answer = module.expectCall(Gateway.AttemptReport.class);
    assertEquals(Outcome.NEVER_SENT, answer.outcome());
    assertFalse(answer.requestEnded(), "the module may choose another");
    module.onLoop(server, actions -> actions.reject(id, 0));
    assertEquals(429, stream.expectImmediateStatus());
  }

  // ---- SIGTERM
  // ----------------------------------------------------------------------------------------

  @Test
  void drainAnswersOpenRequestsAndWaitsForOutcomes() throws Exception {
    ScriptedGateway module = new ScriptedGateway(0);
    server.with("budget_ms", 1_000L).with("reserve_ms", 10L).start(module.module());
    ManagedChannel connection = server.connection();
    TestProxyStream forwarded =
        new TestProxyStream(connection).sendRequestHeaders(ExtProcTestServer.submit("a1"));
    long first = module.expectCall(Gateway.Request.class).id();
    module.onLoop(server, actions -> actions.send(first, NODE, 0));
    forwarded.expectForward();
    TestProxyStream awaitingDecision =
        new TestProxyStream(connection).sendRequestHeaders(ExtProcTestServer.submit("a2"));
    long second = module.expectCall(Gateway.Request.class).id();
    Thread draining = new Thread(() -> server.door().drain());
    draining.start();
    module.onLoop(server, actions -> {}); // the drain has started or is the next task on the loop
    module.onLoop(server, actions -> actions.reject(second, 0));
    assertEquals(429, awaitingDecision.expectImmediateStatus());
    forwarded.outcome(200);
    assertTrue(forwarded.next().hasResponseHeaders());
    forwarded.complete();
    draining.join(5_000);
    assertFalse(draining.isAlive(), "drained once all is answered");
  }
}
