package nettletrail.extproc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.concurrent.Future;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import nettletrail.core.AttemptTransport;
import nettletrail.core.Authorizer;
import nettletrail.core.BackendAttempt;
import nettletrail.core.BackendReport;
import nettletrail.core.Dispatcher;
import nettletrail.core.Endpoint;
import nettletrail.core.InboundRequest;
import nettletrail.core.Log;
import nettletrail.core.RequestClient;
import nettletrail.core.RequestValidator;
import nettletrail.decision.Gateway.DiscoveryState;
import nettletrail.decision.Gateway.Outcome;

/**
 * Asks of other proxies, from the first word to the outcome, for both ways of asking. An ask is a request of the
 * {@link Dispatcher} like any other; here its attempts are carried by handing the decision out. What the module
 * decides goes to whoever asks now, and what the proxy then tells ends the attempt and the request. All of it runs
 * on the event loop.
 */
final class Processor implements AttemptTransport {
    /** What became of an outcome that was told. */
    enum Told {
        /** It ended its request. */
        TAKEN,
        /** One was told before, or its time was up: it changes nothing. */
        TOO_LATE,
        /** Nothing was handed out under this id. */
        NO_DECISION
    }

    /** What has happened since the start, for logs and measurements. */
    static final class Counts {
        long asked;
        long forwarded;
        long refused;
        long failed;
        long malformed;
        long askedAgain;
        long withdrawn;
        long overBudget;
        long outcomes;
        long outcomesLate;
        long noOutcome;

        Map<String, Object> all() {
            Map<String, Object> all = new java.util.LinkedHashMap<>();
            all.put("asked", asked);
            all.put("forwarded", forwarded);
            all.put("refused", refused);
            all.put("failed", failed);
            all.put("malformed", malformed);
            all.put("asked_again", askedAgain);
            all.put("withdrawn", withdrawn);
            all.put("over_budget", overBudget);
            all.put("outcomes", outcomes);
            all.put("outcomes_late", outcomesLate);
            all.put("no_outcome", noOutcome);
            return all;
        }
    }

    /** Tells requests apart that name the same id. */
    private record What(int requestClass, int plan, long customer, double units) { }

    /** An ask from its first word until its outcome is told or given up. */
    final class OpenAsk implements RequestClient, StartedAttempt {
        private final AskDecider.Ask ask;
        private final long askedAt = System.nanoTime();
        private Asker asker;
        private Dispatcher.ActiveRequest live;
        private BackendAttempt attempt;
        private Future<?> timer;

        private OpenAsk(AskDecider.Ask ask, Asker asker) {
            this.ask = ask;
            this.asker = asker;
        }

        boolean unsafe() {
            return ask.unsafe();
        }

        // ---- As the one who gets the final answer: only before it was handed out.

        @Override
        public void served(ByteBuf body, String contentType) {
            throw new IllegalStateException("an answer that passed another proxy can't be had here");
        }

        @Override
        public void rejected(long retryAfterNs) {
            if (undecided()) {
                ended();
                counts.refused++;
                asker.refuse(retryAfterNs);
            }
        }

        @Override
        public void failed(int status) {
            if (undecided()) {
                ended();
                counts.failed++;
                asker.fail(status, status == 504 ? "its time is up" : "no node could be found for it");
            }
        }

        @Override
        public void denied(Authorizer.Denial denial) {
            if (undecided()) {
                ended();
                counts.refused++;
                asker.deny(denial);
            }
        }

        private boolean undecided() {
            return ask.state() == AskDecider.State.UNDECIDED;
        }

        /** Never handed out. */
        private void ended() {
            stop();
            open.remove(ask);
            decider.neverRan(ask, System.nanoTime());
        }

        private void stop() {
            if (timer != null) {
                timer.cancel(false);
                timer = null;
            }
        }

        // ---- As an attempt on its way.

        @Override
        public boolean isUnsent() {
            return false;
        }

        /** Its time is up and no outcome was told: it may have run, or may yet. */
        @Override
        public Outcome cancel() {
            counts.noOutcome++;
            over(true);
            return Outcome.TIMED_OUT;
        }

        private BackendAttempt over(boolean mayHaveRun) {
            stop();
            open.remove(ask);
            BackendAttempt ended = attempt;
            attempt = null;
            if (mayHaveRun) {
                decider.perhapsRan(ask, System.nanoTime());
            } else {
                decider.neverRan(ask, System.nanoTime());
            }
            return ended;
        }
    }

    private static final int MOST_COMPLAINTS = 5;

    private final EventLoop loop;
    private final ExtProcSettings settings;
    private final RequestValidator intake;
    private final AskDecider decider;
    private final Map<AskDecider.Ask, OpenAsk> open = new HashMap<>();
    private final LongObjectHashMap<Endpoint> endpoints = new LongObjectHashMap<>();
    private final Counts counts = new Counts();
    private Dispatcher dispatcher;
    private long complaintSecond;
    private int complaints;

    Processor(EventLoop loop, ExtProcSettings settings, RequestValidator intake) {
        this.loop = loop;
        this.settings = settings;
        this.intake = intake;
        decider = new AskDecider(settings.mostOpen(), settings.mostIds(), settings.memoryNs());
    }

    /** Before the first ask. */
    void open(Dispatcher through) {
        dispatcher = through;
    }

    /** A line about a caller, some a second at most: who sends rubbish shall not fill the log with it. */
    void complain(String line) {
        long second = System.nanoTime() / 1_000_000_000L;
        if (second != complaintSecond) {
            if (complaints > MOST_COMPLAINTS) {
                Log.line("ext_proc: " + (complaints - MOST_COMPLAINTS) + " more such lines left out");
            }
            complaintSecond = second;
            complaints = 0;
        }
        if (++complaints <= MOST_COMPLAINTS) {
            Log.line("ext_proc: " + line);
        }
    }

    /** For tests. */
    Future<?> onLoop(Runnable what) {
        return loop.submit(what);
    }

    Counts counters() {
        return counts;
    }

    /** Asks that wait for a decision. */
    int undecided() {
        int waiting = 0;
        for (OpenAsk each : open.values()) {
            waiting += each.undecided() ? 1 : 0;
        }
        return waiting;
    }

    /** Asks undecided or without an outcome. */
    int held() {
        return open.size();
    }

    // ---- A proxy asks -----------------------------------------------------------------------------------

    /**
     * A proxy asks about a request; its answer may come before this returns.
     *
     * @param method of the request; null if the way of asking doesn't tell
     * @param headers of the request, by name
     * @param attempt the proxy's count of its tries, from 1; 0 if it doesn't tell
     * @return a handle for what comes later, or null if the ask is answered and nothing more can come of it
     */
    OpenAsk asked(Asker asker, HttpMethod method, String uri, Function<CharSequence, String> headers, int attempt) {
        counts.asked++;
        int requestClass = intake.requestClassOf(headers);
        HttpMethod told = method != null || requestClass < 0 ? method : intake.requiredMethod(requestClass);
        HttpMethod checked = told == null ? HttpMethod.GET : told;
        InboundRequest arrival = intake.validate(checked, uri, headers, Unpooled.EMPTY_BUFFER, System.nanoTime());
        if (arrival == null) {
            counts.malformed++;
            asker.malformed(intake.describeFault(checked, headers));
            return null;
        }
        boolean unsafe = intake.isNotRepeatable(arrival);
        if (unsafe && decider.find(arrival.requestId()) == null && !dispatcher.isUnusedId(arrival.requestId())) {
            // Taken by the socket front of this process.
            counts.malformed++;
            asker.malformed(RequestValidator.TXN
                    + " is the id of another request that is open here: give each its own");
            return null;
        }
        What what = new What(arrival.requestClass(), arrival.plan(), arrival.customer(), arrival.units());
        AskDecider.Ruling ruling = decider.asked(arrival.requestId(), unsafe, what, attempt, System.nanoTime());
        if (ruling instanceof AskDecider.Ruling.Take take) {
            return take(take.ask(), asker, arrival);
        }
        if (ruling instanceof AskDecider.Ruling.Instead instead) {
            counts.askedAgain++;
            OpenAsk known = open.get(instead.ask());
            Asker before = known.asker;
            known.asker = asker;
            if (before != asker) {
                before.fail(502, "asked again since, and answered there");
            }
            return known;
        }
        away(asker, ((AskDecider.Ruling.Away) ruling).reason());
        return null;
    }

    private void away(Asker asker, AskDecider.Reason reason) {
        switch (reason) {
            case IN_USE -> {
                counts.malformed++;
                asker.malformed(RequestValidator.TXN + " is the id of another request: give each its own");
            }
            case PERHAPS_RAN -> {
                counts.askedAgain++;
                counts.failed++;
                asker.fail(502, "it was handed out before and may have run");
            }
            case NOT_SEEN -> {
                counts.askedAgain++;
                counts.failed++;
                asker.fail(502, "it was tried before, and what became of that is not known here");
            }
            case NEVER_RAN -> {
                counts.askedAgain++;
                counts.refused++;
                asker.refuse(0);
            }
            case FULL -> {
                counts.refused++;
                asker.refuse(0);
            }
        }
    }

    private OpenAsk take(AskDecider.Ask ask, Asker asker, InboundRequest arrival) {
        OpenAsk taken = new OpenAsk(ask, asker);
        open.put(ask, taken);
        long hold = settings.budgetNs() - settings.reserveNs();
        taken.live = dispatcher.accept(arrival.withMaxHold(hold), taken, this);
        if (taken.undecided()) {
            // The module gives it up by itself before; this is for a loop or a module that is late.
            taken.timer = loop.schedule(() -> late(taken), settings.budgetNs() - settings.reserveNs() / 2,
                    TimeUnit.NANOSECONDS);
        }
        return taken;
    }

    private void late(OpenAsk ask) {
        if (ask.undecided()) {
            counts.overBudget++;
            ask.live.clientDisconnected();
            ask.rejected(0);
        }
    }

    /**
     * Whoever asked waits no longer, or can't be reached. Undecided, the request has never been anywhere and the
     * module gets back what it drew; handed out, its outcome may still be told for a while by another way.
     */
    void left(OpenAsk ask, Asker asker) {
        if (ask.asker != asker) {
            return; // another asks in its place
        }
        if (ask.undecided()) {
            counts.withdrawn++;
            ask.live.clientDisconnected();
            ask.ended();
        } else if (ask.attempt != null && ask.timer == null) {
            ask.timer = loop.schedule(() -> orphaned(ask), settings.orphanNs(), TimeUnit.NANOSECONDS);
        }
    }

    private void orphaned(OpenAsk ask) {
        if (ask.attempt != null) {
            counts.noOutcome++;
            ask.over(true).endedWithRequest(Outcome.CANCELLED, BackendReport.NONE);
        }
    }

    // ---- A proxy tells how it went ----------------------------------------------------------------------

    /** The outcome of what was handed out, told with the handle. */
    Told outcome(OpenAsk ask, Outcome outcome, BackendReport report) {
        if (ask.undecided()) {
            return Told.NO_DECISION;
        }
        if (ask.attempt == null) {
            counts.outcomesLate++;
            return Told.TOO_LATE;
        }
        counts.outcomes++;
        boolean mayHaveRun = outcome.mayHaveRun;
        ask.over(mayHaveRun).endedWithRequest(outcome, report);
        return Told.TAKEN;
    }

    /** The same, told by the request's id. */
    Told outcome(String id, Outcome outcome, BackendReport report) {
        AskDecider.Ask ask = decider.find(id);
        if (ask == null) {
            return Told.NO_DECISION;
        }
        OpenAsk known = open.get(ask);
        if (known == null) {
            boolean handedOut = ask.state() != AskDecider.State.UNSENT;
            counts.outcomesLate += handedOut ? 1 : 0;
            return handedOut ? Told.TOO_LATE : Told.NO_DECISION;
        }
        return outcome(known, outcome, report);
    }

    // ---- What the dispatcher asks of a carrier ----------------------------------------------------------

    @Override
    public void endpointsUpdated(boolean whole, List<Endpoint> entries) {
        if (whole) {
            endpoints.clear();
        }
        for (Endpoint entry : entries) {
            Endpoint known = endpoints.get(entry.id());
            if (entry.state() != DiscoveryState.READY) {
                endpoints.remove(entry.id());
            } else if (entry.address() != null) {
                endpoints.put(entry.id(), entry);
            } else if (known == null) {
                endpoints.remove(entry.id());
            }
        }
    }

    /** Hands the decision out: from here on the request counts as sent. */
    @Override
    public StartedAttempt start(BackendAttempt attempt) {
        OpenAsk ask = (OpenAsk) attempt.client();
        Endpoint to = endpoints.get(attempt.backendId());
        if (to == null || !ask.undecided() || System.nanoTime() - ask.askedAt > settings.budgetNs()) {
            // Nothing has left this process, so nothing can have run.
            attempt.ended(Outcome.NEVER_SENT);
            return ask;
        }
        ask.stop();
        decider.handedOut(ask.ask);
        ask.attempt = attempt;
        counts.forwarded++;
        ask.asker.forward(to, attempt.remainingMs(), ask.unsafe());
        return ask;
    }
}
