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
import nettletrail.extproc.ExtProcRig.Scripted;
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

/** Asks over gRPC that come again, end halfway, or are told too much; a scripted module decides. */
@Timeout(60)
class HardCasesTest {
    private static final long NODE = Endpoint.idOf("s-1");

    @TempDir
    private Path folder;
    private ExtProcRig rig;
    private StandInBackend backend;
    private final Ledger ledger = new Ledger();

    @BeforeEach
    void make() {
        rig = new ExtProcRig(folder);
        backend = new StandInBackend("s-1", rig.group, ledger, StandInBackend.Manner.good(1), 1);
        rig.agent.set("s-1", backend.address(), "SERVING", 0);
    }

    @AfterEach
    void end() {
        backend.close();
        rig.close();
    }

    private String node() {
        return "127.0.0.1:" + backend.address().getPort();
    }

    // ---- The plain way ----------------------------------------------------------------------------------

    @Test
    void aDecisionNamesTheNodeInAllThreeWaysAndItsOutcomeReachesTheModule() throws Exception {
        Scripted module = new Scripted(NODE);
        rig.start(module.module());
        AskPeer peer = new AskPeer(rig.connection()).ask(ExtProcRig.submit("a1"));
        ProcessingResponse decision = peer.next();
        assertEquals(node(), Messages.set(decision, "x-gateway-destination-endpoint"));
        assertEquals(node(), Messages.set(decision, "x-envoy-original-dst-host"));
        assertEquals("0", Messages.set(decision, "x-envoy-max-retries"));
        long remaining = Long.parseLong(Messages.set(decision, "x-remaining-ms"));
        assertTrue(remaining > 2_000 && remaining <= 3_000, "" + remaining);
        assertEquals(node(), decision.getDynamicMetadata().getFieldsOrThrow("envoy.lb").getStructValue()
                .getFieldsOrThrow("x-gateway-destination-endpoint").getStringValue());
        Gateway.Request told = module.heard(Gateway.Request.class);
        assertEquals(1, told.requestClass());
        assertEquals(10_000_000L, told.maxQueueNanos(), "budget less reserve");
        peer.outcome(200, "x-quota-used", "42", "x-units-charged", "3.5", "x-pressure", "pending=4,cpu_share=0.5");
        assertTrue(peer.next().hasResponseHeaders());
        Gateway.AttemptReport answer = module.heard(Gateway.AttemptReport.class);
        assertEquals(Outcome.OK, answer.outcome());
        assertTrue(answer.requestEnded());
        assertEquals(42, answer.quotaUsedPercent());
        assertEquals(3.5, answer.actualUnits());
        assertEquals(4, answer.load().queuedRequests());
        peer.complete();
        assertEquals(Status.Code.OK, peer.end().getCode());
    }

    @Test
    void aSafeRequestLeavesTheProxyItsOwnRetries() throws Exception {
        rig.start(new Scripted(NODE).module());
        ProcessingResponse decision = new AskPeer(rig.connection()).ask(ExtProcRig.status("a1")).next();
        assertNull(Messages.set(decision, "x-envoy-max-retries"));
    }

    @Test
    void aRefusalSaysWhenToComeBackWhereThatIsKnown() throws Exception {
        Scripted module = new Scripted(0);
        rig.start(module.module());
        AskPeer peer = new AskPeer(rig.connection()).ask(ExtProcRig.submit("a1"));
        long id = module.heard(Gateway.Request.class).id();
        module.act(rig, actions -> actions.reject(id, 1_200_000_000L));
        ProcessingResponse answer = peer.next();
        assertEquals(429, answer.getImmediateResponse().getStatus().getCodeValue());
        assertTrue(answer.getImmediateResponse().getHeaders().getSetHeadersList().stream().anyMatch(header ->
                header.getHeader().getKey().equals("retry-after")
                        && header.getHeader().getRawValue().toStringUtf8().equals("2")), answer.toString());
        assertEquals(Status.Code.OK, peer.end().getCode());
    }

    /** A module that never says: the ask is still answered inside the budget, and the module hears that it is over. */
    @Test
    void anAskThatTheModuleForgetsIsRefusedInItsBudget() throws Exception {
        Scripted module = new Scripted(0);
        rig.start(module.module());
        AskPeer peer = new AskPeer(rig.connection()).ask(ExtProcRig.submit("a1"));
        long id = module.heard(Gateway.Request.class).id();
        assertEquals(429, peer.immediate());
        assertEquals(id, module.heard(Long.class));
    }

    // ---- Asked again ------------------------------------------------------------------------------------

    /** The same id on the same stream, a new one and a new connection, at each point of the first ask's life. */
    @ParameterizedTest
    @CsvSource({"stream,undecided", "stream,forwarded", "stream,answered", "call,undecided", "call,forwarded",
            "call,answered", "call,broken", "call,turned-away", "connection,undecided", "connection,forwarded",
            "connection,answered", "connection,broken", "connection,turned-away"})
    void anOrderAskedAgainIsForwardedOnce(String where, String when) throws Exception {
        Scripted module = new Scripted(0);
        rig.with("budget_ms", 1_000L).with("reserve_ms", 10L).start(module.module());
        ManagedChannel first = rig.connection();
        AskPeer asked = new AskPeer(first).ask(ExtProcRig.submit("a1"));
        long id = module.heard(Gateway.Request.class).id();
        int forwards = 0;
        if (!when.equals("undecided")) {
            module.act(rig, actions -> actions.send(id, NODE, 0));
            assertEquals(node(), asked.forwarded());
            forwards++;
        }
        if (when.equals("answered")) {
            asked.outcome(200).next();
            module.heard(Gateway.AttemptReport.class);
        } else if (when.equals("broken")) {
            asked.outcome(503);
            assertEquals(502, asked.immediate(), "503 would say that trying again is harmless");
            assertEquals(Outcome.RESET, module.heard(Gateway.AttemptReport.class).outcome());
        } else if (when.equals("turned-away")) {
            asked.outcome(503, "x-turned-away", "1").next();
            assertEquals(Outcome.FULL, module.heard(Gateway.AttemptReport.class).outcome());
        }
        Map<String, String> again = ExtProcRig.with(ExtProcRig.submit("a1"), "x-envoy-attempt-count", "2");
        AskPeer second = where.equals("stream") ? asked.ask(again)
                : new AskPeer(where.equals("call") ? first : rig.connection()).ask(again);
        if (when.equals("undecided")) {
            if (where.equals("stream")) {
                awaitAskedAgain();
            } else {
                assertEquals(502, asked.immediate(), "its place is taken");
            }
            module.act(rig, actions -> actions.send(id, NODE, 0));
            assertEquals(node(), second.forwarded());
            forwards++;
            second.outcome(200);
            assertTrue(second.next().hasResponseHeaders());
            assertEquals(Outcome.OK, module.heard(Gateway.AttemptReport.class).outcome());
        } else {
            assertEquals(when.equals("turned-away") ? 429 : 502, second.immediate());
        }
        assertEquals(1, forwards);
        if (when.equals("forwarded") && !where.equals("stream")) {
            asked.outcome(200).next();
            assertEquals(Outcome.OK, module.heard(Gateway.AttemptReport.class).outcome());
        }
        module.told.removeIf(told -> told instanceof Gateway.AttemptReport);
        assertEquals(0, module.told.size(), "nothing more reached the module: " + module.told);
    }

    private void awaitAskedAgain() throws Exception {
        long[] seen = new long[1];
        for (int i = 0; i < 2_000 && seen[0] == 0; i++) {
            rig.front().processor().onLoop(() -> seen[0] = (Long) rig.front().counters().get("asked_again")).get();
            Thread.sleep(seen[0] == 0 ? 5 : 0);
        }
        assertEquals(1, seen[0], "the second message was read");
    }

    @Test
    void aLaterTryOfAnUnknownIdIsForwardedOnlyIfSafe() throws Exception {
        rig.start(new Scripted(NODE).module());
        Map<String, String> order = ExtProcRig.with(ExtProcRig.submit("a1"), "x-envoy-attempt-count", "2");
        assertEquals(502, new AskPeer(rig.connection()).ask(order).immediate());
        Map<String, String> look = ExtProcRig.with(ExtProcRig.status("a2"), "x-envoy-attempt-count", "2");
        assertEquals(node(), new AskPeer(rig.connection()).ask(look).forwarded());
    }

    @Test
    void aSafeRequestMayBeAskedAgainAndForwardedAgain() throws Exception {
        rig.start(new Scripted(NODE).module());
        ManagedChannel connection = rig.connection();
        assertEquals(node(), new AskPeer(connection).ask(ExtProcRig.status("a1")).forwarded());
        assertEquals(node(), new AskPeer(connection).ask(ExtProcRig.status("a1")).forwarded());
    }

    // ---- The caller stops waiting -----------------------------------------------------------------------

    @Test
    void whoLeavesBeforeTheDecisionTakesNothingWithItAndMayAskAgain() throws Exception {
        Scripted module = new Scripted(0);
        rig.with("budget_ms", 1_000L).with("reserve_ms", 10L).start(module.module());
        AskPeer peer = new AskPeer(rig.connection()).ask(ExtProcRig.submit("a1"));
        long id = module.heard(Gateway.Request.class).id();
        peer.cancel();
        assertEquals(id, module.heard(Long.class), "the module hears that it is over and gives back what it drew");
        module.act(rig, actions -> actions.send(id, NODE, 0));
        assertEquals(Outcome.NEVER_SENT, module.heard(Gateway.AttemptReport.class).outcome());
        Map<String, String> again = ExtProcRig.with(ExtProcRig.submit("a1"), "x-envoy-attempt-count", "2");
        AskPeer second = new AskPeer(rig.connection()).ask(again);
        long next = module.heard(Gateway.Request.class).id();
        module.act(rig, actions -> actions.send(next, NODE, 0));
        assertEquals(node(), second.forwarded());
    }

    /** Nobody can tell whether the decision was still acted on: perhaps run, and its slot free after a time. */
    @ParameterizedTest
    @CsvSource({"cancel", "complete", "connection"})
    void aStreamThatDiesBetweenDecisionAndOutcomeHasPerhapsRun(String how) throws Exception {
        Scripted module = new Scripted(NODE);
        rig.with("orphan_ms", 40L).start(module.module());
        ManagedChannel connection = rig.connection();
        AskPeer peer = new AskPeer(connection).ask(ExtProcRig.submit("a1"));
        peer.forwarded();
        module.heard(Gateway.Request.class);
        switch (how) {
            case "cancel" -> peer.cancel();
            case "complete" -> peer.complete();
            default -> connection.shutdownNow();
        }
        Gateway.AttemptReport answer = module.heard(Gateway.AttemptReport.class);
        assertEquals(Outcome.CANCELLED, answer.outcome());
        assertTrue(answer.outcome().mayHaveRun && answer.requestEnded());
        assertEquals(502, new AskPeer(rig.connection()).ask(ExtProcRig.submit("a1")).immediate());
    }

    @Test
    void aDecisionWithoutAnOutcomeEndsAtTheDeadlineAndWhatComesLaterChangesNothing() throws Exception {
        Scripted module = new Scripted(NODE);
        rig.start(module.module());
        Map<String, String> hurried = ExtProcRig.with(ExtProcRig.submit("a1"), "x-remaining-ms", "120");
        AskPeer peer = new AskPeer(rig.connection()).ask(hurried);
        peer.forwarded();
        module.heard(Gateway.Request.class);
        assertEquals(Outcome.TIMED_OUT, module.heard(Gateway.AttemptReport.class).outcome());
        module.heard(Long.class);
        peer.outcome(200);
        assertTrue(peer.next().hasResponseHeaders(), "the client still gets its one answer");
        long[] late = new long[1];
        rig.front().processor().onLoop(() -> late[0] = (Long) rig.front().counters().get("outcomes_late")).get();
        assertEquals(1, late[0]);
        assertTrue(module.told.isEmpty());
    }

    @Test
    void twoOutcomesForOneDecisionCountOnce() throws Exception {
        Scripted module = new Scripted(NODE);
        rig.start(module.module());
        AskPeer peer = new AskPeer(rig.connection()).ask(ExtProcRig.submit("a1"));
        peer.forwarded();
        module.heard(Gateway.Request.class);
        peer.outcome(200).next();
        peer.outcome(500);
        assertTrue(peer.next().hasResponseHeaders());
        assertEquals(Outcome.OK, module.heard(Gateway.AttemptReport.class).outcome());
        assertTrue(module.told.isEmpty());
    }

    @Test
    void anOutcomeForNoDecisionIsAClearError() throws Exception {
        Scripted module = new Scripted(0);
        rig.with("budget_ms", 1_000L).with("reserve_ms", 10L).start(module.module());
        Status none = new AskPeer(rig.connection()).outcome(200).end();
        assertEquals(Status.Code.INVALID_ARGUMENT, none.getCode());
        assertTrue(none.getDescription().contains("before request_headers"), none.getDescription());
        AskPeer early = new AskPeer(rig.connection()).ask(ExtProcRig.submit("a1"));
        module.heard(Gateway.Request.class);
        assertTrue(early.outcome(200).end().getDescription().contains("before the decision"));
        module.heard(Long.class);
    }

    /** 429 and 503 say that trying again is harmless, whoever words them. */
    @ParameterizedTest
    @CsvSource({"503,,,502", "429,,,502", "503,1,,0", "504,1,,503", "500,,,0", "504,,,0", "502,,,0", "200,,,0",
            "503,,upstream_reset_before_response_started{connection_failure},0",
            "503,,upstream_reset_before_response_started{connection_termination},502",
            "503,,no_healthy_upstream,0", "504,,response_timeout,0"})
    void whatTheClientGetsNeverCallsAnOrderUnrunThatMayHaveRun(int status, String turnedAway, String details,
            int instead) throws Exception {
        rig.start(new Scripted(NODE).module());
        AskPeer peer = new AskPeer(rig.connection()).ask(ExtProcRig.submit("a1"));
        peer.forwarded();
        Map<String, String> headers = new java.util.LinkedHashMap<>(Map.of(":status", "" + status));
        if (turnedAway != null) {
            headers.put("x-turned-away", turnedAway);
        }
        peer.say(Messages.responseHeaders(headers, details));
        if (instead == 0) {
            assertTrue(peer.next().hasResponseHeaders());
        } else {
            assertEquals(instead, peer.immediate());
        }
    }

    // ---- Nodes that change meanwhile --------------------------------------------------------------------

    /** The module chooses a node that the list has just taken away: it is told so, and nothing is handed out. */
    @Test
    void aNodeThatDrainsInTheSameMomentIsNotHandedOut() throws Exception {
        Scripted module = new Scripted(0);
        rig.with("budget_ms", 1_000L).with("reserve_ms", 10L).start(module.module());
        AskPeer peer = new AskPeer(rig.connection()).ask(ExtProcRig.submit("a1"));
        long id = module.heard(Gateway.Request.class).id();
        module.act(rig, actions -> {
            rig.front().attemptTransport().endpointsUpdated(false,
                    java.util.List.of(new Endpoint(NODE, "s-1", null, "a", "m1", 1,
                    Gateway.DiscoveryState.DRAINING, 1, 0)));
            actions.send(id, NODE, 0);
        });
        Gateway.AttemptReport answer = module.heard(Gateway.AttemptReport.class);
        assertEquals(Outcome.NEVER_SENT, answer.outcome());
        assertFalse(answer.requestEnded(), "the module may choose another");
        module.act(rig, actions -> actions.reject(id, 0));
        assertEquals(429, peer.immediate());
    }

    // ---- SIGTERM ----------------------------------------------------------------------------------------

    @Test
    void aDrainAnswersWhatIsOpenAndWaitsForOutcomes() throws Exception {
        Scripted module = new Scripted(0);
        rig.with("budget_ms", 1_000L).with("reserve_ms", 10L).start(module.module());
        ManagedChannel connection = rig.connection();
        AskPeer handedOut = new AskPeer(connection).ask(ExtProcRig.submit("a1"));
        long first = module.heard(Gateway.Request.class).id();
        module.act(rig, actions -> actions.send(first, NODE, 0));
        handedOut.forwarded();
        AskPeer undecided = new AskPeer(connection).ask(ExtProcRig.submit("a2"));
        long second = module.heard(Gateway.Request.class).id();
        Thread draining = new Thread(() -> rig.door().drain());
        draining.start();
        module.act(rig, actions -> { }); // the drain has begun or comes next on the loop
        module.act(rig, actions -> actions.reject(second, 0));
        assertEquals(429, undecided.immediate());
        handedOut.outcome(200);
        assertTrue(handedOut.next().hasResponseHeaders());
        handedOut.complete();
        draining.join(5_000);
        assertFalse(draining.isAlive(), "drained once all is answered");
    }
}
