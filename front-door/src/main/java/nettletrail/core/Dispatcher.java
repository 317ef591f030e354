package nettletrail.core;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;

/**
 * Each live request and its attempts, and the only place that touches the decision module: it turns what happens
 * on sockets and clocks into the module's events, and the module's actions into answers, attempts and timers.
 * All of it runs on the one event loop.
 */
public final class Dispatcher implements Gateway.Actions, Endpoint.Listener {
    private static final long NANOS_PER_MS = 1_000_000L;
    /** For the way back to the client, who counts from when it sent the request. */
    private static final long RETURN_TRIP_NANOS = 12 * NANOS_PER_MS;
    /**
     * What has come may lie unread for so long before it is looked for: lists before a send, and whether a client has left
     * before its request is taken up. A quarter of the 0.1 s after which no attempt may begin for a client that left; before
     * an attempt's first byte its own client is looked at in any case.
     */
    private static final long MAX_UNREAD_NANOS = 25 * NANOS_PER_MS;

    /** How a decision module is made. */
    public interface GatewayFactory {
        Gateway create(Gateway.Settings settings, long now, Gateway.Actions actions);
    }

    /** A request from its arrival until its final answer is given and its last attempt has ended. */
    public final class ActiveRequest {
        private final long id;
        private final InboundRequest inbound;
        private final RequestClient client;
        private final AttemptTransport transport;
        private final long deadline;
        private final Future<?> deadlineTimer;
        private int attemptCount;
        private int openAttempts;
        private DispatchedAttempt lastAttempt;
        private boolean ended;
        /** Whether the bound has taken its units, and it has come to no backend yet. */
        private boolean unitsHeld;
        /** An attempt ended so that a backend may have run it. */
        private boolean mayHaveRun;
        /** It waits for leave to come in: neither bound nor module has heard of it. */
        private boolean awaitingAuthorization;

        private ActiveRequest(long id, InboundRequest inbound, RequestClient client, AttemptTransport transport,
                long now) {
            this.id = id;
            this.inbound = inbound;
            this.client = client;
            this.transport = transport;
            deadline = now + Math.max(0, inbound.remainingMs() * NANOS_PER_MS - RETURN_TRIP_NANOS);
            deadlineTimer = loop.schedule(new DeadlineTimer(this), deadline - now, TimeUnit.NANOSECONDS);
        }

        /** Whether its final answer is given, or nobody waits for it. */
        public boolean isEnded() {
            return ended;
        }

        /** The client has gone away: it is owed nothing more. */
        public void clientDisconnected() {
            if (!ended && awaitingAuthorization) {
                authorizer.requestEnded(id, inbound);
                markEnded(this);
            } else if (!ended) {
                markEnded(this);
                submit(new UncommonEvent("departure", this, () -> gateway.onRequestCancelled(now(), id)));
                // Without a carriage it is just being started, and its carrier will hear that it is not wanted.
                if (lastAttempt != null && lastAttempt.started != null && lastAttempt.started.isUnsent()) {
                    timeOut(lastAttempt); // nobody waits for it: it shall not cost a backend work
                }
            }
        }
    }

    private record UsedId(String requestId, long expiresAtNanos, long id) { }

    // The events of every request are classes: the first compiler, which is all that the platform leaves to a front door,
    // makes a lambda that captures something by a call into the JVM and several through method handles.

    /** Something for the module to hear of. */
    private abstract static class Event {
        private final String description;
        /** Which it concerns, or null. */
        private final ActiveRequest request;

        Event(String description, ActiveRequest request) {
            this.description = description;
            this.request = request;
        }

        abstract void deliver();
    }

    /** One of those that are not each request's. */
    private static final class UncommonEvent extends Event {
        private final Runnable run;

        UncommonEvent(String description, ActiveRequest request, Runnable run) {
            super(description, request);
            this.run = run;
        }

        @Override
        void deliver() {
            run.run();
        }
    }

    private final class ArrivalEvent extends Event {
        private final long now;
        private final Gateway.Request gatewayRequest;

        ArrivalEvent(ActiveRequest request, long now, Gateway.Request gatewayRequest) {
            super("arrival", request);
            this.now = now;
            this.gatewayRequest = gatewayRequest;
        }

        @Override
        void deliver() {
            gateway.onRequest(now, gatewayRequest);
        }
    }

    private final class OutcomeEvent extends Event {
        private final long now;
        private final Gateway.AttemptReport answer;

        OutcomeEvent(ActiveRequest request, long now, Gateway.AttemptReport answer) {
            super("outcome", request);
            this.now = now;
            this.answer = answer;
        }

        @Override
        void deliver() {
            gateway.onAttemptEnd(now, answer);
        }
    }

    private final class DeadlineTimer implements Runnable {
        private final ActiveRequest request;

        DeadlineTimer(ActiveRequest request) {
            this.request = request;
        }

        @Override
        public void run() {
            deadlineExceeded(request);
        }
    }

    private final class DispatchedAttempt extends BackendAttempt {
        private final ActiveRequest activeRequest;
        private final int number;
        private long sentAtNanos;
        private AttemptTransport.StartedAttempt started;
        private Future<?> timeoutTimer;

        DispatchedAttempt(ActiveRequest activeRequest, long backendId, long now) {
            super(backendId);
            this.activeRequest = activeRequest;
            number = activeRequest.attemptCount++;
            sentAtNanos = now;
        }

        @Override
        public InboundRequest request() {
            return activeRequest.inbound;
        }

        @Override
        public RequestClient client() {
            return activeRequest.client;
        }

        @Override
        public long remainingNanos() {
            return activeRequest.deadline - now();
        }

        @Override
        public long remainingMs() {
            return Math.max(1, remainingNanos() / NANOS_PER_MS);
        }

        @Override
        public boolean isWanted() {
            if (isLoopLate()) {
                discoveryPoll.run();
            }
            // Always: for how long the loop was at something else before it first read its clock, it can't tell.
            if (!activeRequest.ended && !activeRequest.client.readPending()) {
                activeRequest.clientDisconnected();
            }
            return !activeRequest.ended;
        }

        @Override
        public void sendStarted() {
            sentAtNanos = now();
        }

        @Override
        public void endedWithRequest(Gateway.Outcome outcome, BackendReport report) {
            if (!activeRequest.ended) {
                markEnded(activeRequest);
            }
            ended(outcome, report, null, null);
        }

        @Override
        public void ended(Gateway.Outcome outcome, BackendReport report, ByteBuf body, String contentType) {
            long now = now();
            if (timeoutTimer != null) {
                timeoutTimer.cancel(false);
            }
            if (outcome != Gateway.Outcome.NEVER_SENT && outcome != Gateway.Outcome.CONNECT_FAILED) {
                activeRequest.unitsHeld = false; // first: the end below may be the last of the request
            }
            activeRequest.mayHaveRun |= outcome.mayHaveRun;
            activeRequest.openAttempts--;
            if (activeRequest.lastAttempt == this) {
                activeRequest.lastAttempt = null;
            }
            if (outcome == Gateway.Outcome.OK && !activeRequest.ended) {
                markEnded(activeRequest);
                activeRequest.client.served(body, contentType);
            }
            double charged = outcome == Gateway.Outcome.OK ? report.unitsCharged() : 0;
            if (charged > 0) {
                limiter.unitsCharged(activeRequest.inbound, charged);
            }
            if (report.quotaUsedPercent() >= 0) {
                limiter.quotaUsed(activeRequest.inbound, report.quotaUsedPercent());
            }
            long elapsedNanos = clock.arrivedAt(sentAtNanos - clockOffsetNanos) + clockOffsetNanos - sentAtNanos;
            Gateway.AttemptReport answer = new Gateway.AttemptReport(activeRequest.id, number, backendId(), outcome,
                    activeRequest.ended, elapsedNanos,
                    report.quotaUsedPercent(), charged, report.load());
            removeIfDone(activeRequest);
            submit(new OutcomeEvent(activeRequest, now, answer));
        }
    }

    private final EventLoop loop;
    private final EventLoopClock clock;
    private final Authorizer authorizer;
    private final RequestLimiter limiter;
    private final List<AttemptTransport> transports;
    private final Gateway gateway;
    private final List<String> zones;
    private final List<String> machineTypes;
    /** No client of the deployment waits longer. */
    private final long maxDeadlineNanos;
    private final LongObjectHashMap<ActiveRequest> activeRequests = new LongObjectHashMap<>();
    /** Ids that clients gave, each until its request's time is up: later copies would run a second time. */
    private final HashSet<String> usedIds = new HashSet<>();
    private final ArrayDeque<UsedId> usedIdsByExpiry = new ArrayDeque<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    /** Added to the monotonic clock: the module's clock starts at Unix time and never goes back. */
    private final long clockOffsetNanos = System.currentTimeMillis() * NANOS_PER_MS - System.nanoTime();
    private boolean processingEvent;
    /** The process is about to end: nothing is taken on or sent any more. */
    private boolean shuttingDown;
    private Runnable discoveryPoll = () -> { };
    private long lastId;

    /**
     * @param loop on which all of this runs
     * @param clock the loop's, so that its lateness isn't told as a backend's
     * @param limiter held beside the module's own
     * @param transports all that attempts are ever carried by
     * @param settings read by the same reader
     */
    public Dispatcher(EventLoop loop, EventLoopClock clock, RequestLimiter limiter, List<AttemptTransport> transports,
            GatewaySettingsReader reader,
            Gateway.Settings settings, GatewayFactory factory) {
        this(loop, clock, Authorizer.NONE, limiter, transports, reader, settings, factory);
    }

    /** The same where not all may come in. */
    public Dispatcher(EventLoop loop, EventLoopClock clock, Authorizer authorizer, RequestLimiter limiter,
            List<AttemptTransport> transports,
            GatewaySettingsReader reader, Gateway.Settings settings, GatewayFactory factory) {
        this.authorizer = authorizer;
        this.limiter = limiter;
        this.loop = loop;
        this.clock = clock;
        this.transports = List.copyOf(transports);
        zones = reader.list("Dcs");
        machineTypes = reader.list("Flavors");
        maxDeadlineNanos = reader.maxDeadlineNanos();
        gateway = factory.create(settings, now(), this);
        authorizer.setRevocationListener(this::revoke);
    }

    // ---- What happens -----------------------------------------------------------------------------------

    /** Whether no other request came with this one's id while that could still be open anywhere. */
    public boolean isUnusedId(String requestId) {
        long now = now();
        for (UsedId first = usedIdsByExpiry.peekFirst(); first != null && first.expiresAtNanos() < now;
                first = usedIdsByExpiry.peekFirst()) {
            usedIdsByExpiry.pollFirst();
            if (activeRequests.containsKey(first.id())) {
                usedIdsByExpiry.addLast(new UsedId(first.requestId(), now + maxDeadlineNanos, first.id()));
            } else {
                usedIds.remove(first.requestId());
            }
        }
        return !usedIds.contains(requestId);
    }

    /**
     * Takes a request on, and its body with it; its final answer goes to the client, perhaps before this returns.
     *
     * @param transport what its attempts are carried by; one of those given at the start
     */
    public ActiveRequest accept(InboundRequest inbound, RequestClient client, AttemptTransport transport) {
        long now = now();
        // The id is counted here: what clients send as theirs need not be a number, nor unique.
        ActiveRequest request = new ActiveRequest(++lastId, inbound, client, transport, now);
        activeRequests.put(request.id, request);
        usedIds.add(inbound.requestId());
        usedIdsByExpiry.addLast(new UsedId(inbound.requestId(), Math.min(request.deadline, now + maxDeadlineNanos)
                + RETURN_TRIP_NANOS,
                request.id));
        if (shuttingDown) {
            markEnded(request);
            client.rejected(0);
            return request;
        }
        if (authorizer != Authorizer.NONE) {
            request.awaitingAuthorization = true;
            Authorizer.Decision decision = authorizer.authorize(request.id, inbound, request.deadline - now,
                    new InitialAuthorization(request));
            if (decision instanceof Authorizer.Pending) {
                return request;
            }
            request.awaitingAuthorization = false;
            if (decision instanceof Authorizer.Denial denial) {
                markEnded(request);
                client.denied(denial);
                return request;
            }
        }
        admit(request, now);
        return request;
    }

    /** It waits for leave to come in. */
    private final class InitialAuthorization implements Authorizer.AuthorizationCallback {
        private final ActiveRequest request;

        InitialAuthorization(ActiveRequest request) {
            this.request = request;
        }

        @Override
        public void allowed() {
            request.awaitingAuthorization = false;
            admit(request, now());
        }

        @Override
        public void denied(Authorizer.Denial denial) {
            request.awaitingAuthorization = false;
            markEnded(request);
            request.client.denied(denial);
        }
    }

    private void admit(ActiveRequest request, long now) {
        InboundRequest inbound = request.inbound;
        if (!limiter.tryAcquire(inbound)) {
            long retryAfterNanos = limiter.retryAfterNanos(inbound);
            markEnded(request);
            request.client.rejected(retryAfterNanos);
            return;
        }
        request.unitsHeld = true;
        Gateway.Request gatewayRequest = new Gateway.Request(request.id, inbound.requestClass(), inbound.plan(),
                inbound.customer(), inbound.units(), inbound.customerDoorCount(), request.deadline - now,
                        inbound.maxHoldNanos());
        submit(new ArrivalEvent(request, now, gatewayRequest));
    }

    /** Those of them that nothing was sent on of; what is out ends as it ends, and asks again before it is sent again. */
    private void revoke(java.util.function.Predicate<InboundRequest> affected, Authorizer.Denial denial) {
        for (ActiveRequest each : new ArrayList<>(activeRequests.values())) {
            if (!each.ended && !each.awaitingAuthorization && each.openAttempts == 0 && affected.test(each.inbound)) {
                endRevoked(each, denial);
                submit(new UncommonEvent("withdrawal", each, () -> gateway.onRequestCancelled(now(), each.id)));
            }
        }
    }

    /** One that may have run already is not told that it hasn't. */
    private void endRevoked(ActiveRequest request, Authorizer.Denial denial) {
        markEnded(request);
        if (request.mayHaveRun) {
            request.client.failed(502);
        } else {
            request.client.denied(denial);
        }
    }

    /** A further attempt that waits for leave to be made. */
    private final class RetryAuthorization implements Authorizer.AuthorizationCallback,
            AttemptTransport.StartedAttempt {
        private final DispatchedAttempt attempt;

        RetryAuthorization(DispatchedAttempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public void allowed() {
            attempt.started = null; // being started: it no longer waits here
            attempt.started = attempt.activeRequest.transport.start(attempt);
        }

        @Override
        public void denied(Authorizer.Denial denial) {
            if (!attempt.activeRequest.ended) {
                endRevoked(attempt.activeRequest, denial);
            }
            attempt.ended(Gateway.Outcome.NEVER_SENT);
        }

        @Override
        public boolean isUnsent() {
            return true;
        }

        @Override
        public Gateway.Outcome cancel() {
            authorizer.requestEnded(attempt.activeRequest.id, attempt.activeRequest.inbound);
            return Gateway.Outcome.NEVER_SENT;
        }
    }

    /** What came before is no leave for a further attempt: credentials may have been withdrawn since. */
    private void authorizeRetry(DispatchedAttempt attempt) {
        RetryAuthorization authorization = new RetryAuthorization(attempt);
        attempt.started = authorization;
        Authorizer.Decision decision = authorizer.authorize(attempt.activeRequest.id, attempt.activeRequest.inbound,
                attempt.remainingNanos(),
                authorization);
        if (decision instanceof Authorizer.Allowed) {
            authorization.allowed();
        } else if (decision instanceof Authorizer.Denial denial) {
            authorization.denied(denial);
        }
    }

    @Override
    public void endpointsUpdated(boolean whole, List<Endpoint> entries) {
        List<Gateway.Backend> backends = new ArrayList<>(entries.size());
        for (Endpoint entry : entries) {
            backends.add(new Gateway.Backend(entry.id(), indexOrHash(zones, entry.zone()),
                    indexOrHash(machineTypes, entry.type()),
                    entry.group(), entry.state(), entry.weight(), entry.startedAtMs() * NANOS_PER_MS));
        }
        // The carriers first, or what the module sends to a new backend would find no address; what ends by it
        // is told after the list, or the module would send it to the same backend again.
        if (processingEvent) {
            // Heard by a look before a send: that carrier must know it now, the module after what it is at.
            events.addLast(new UncommonEvent("list", null, () -> gateway.onBackends(now(), whole, backends)));
            transports.forEach(transport -> transport.endpointsUpdated(whole, entries));
            return;
        }
        submit(new UncommonEvent("list", null, () -> {
            transports.forEach(transport -> transport.endpointsUpdated(whole, entries));
            gateway.onBackends(now(), whole, backends);
        }));
    }

    /** A name that the settings don't know is still not another such name: no two of them are one zone. */
    private static int indexOrHash(List<String> names, String name) {
        int index = names.indexOf(name);
        return index >= 0 ? index : name.hashCode() | Integer.MIN_VALUE;
    }

    /** What takes in a list that has come and was not read yet; asked for before a send on a loop that is late. */
    public void setDiscoveryPoll(Runnable poll) {
        discoveryPoll = poll;
    }

    /** Whether what came may have lain unread for so long that it is looked for before anything is sent. */
    public boolean isLoopLate() {
        return clock.maxUnreadNanos() > MAX_UNREAD_NANOS;
    }

    @Override
    public void discoveryFailed() {
        submit(new UncommonEvent("list failure", null, () -> gateway.onDiscoveryFailure(now())));
    }

    /** Its time is up: attempts are closed and told, and if the module leaves it at that, it has failed. */
    private void deadlineExceeded(ActiveRequest request) {
        if (request.awaitingAuthorization) {
            authorizer.requestEnded(request.id, request.inbound);
            markEnded(request);
            request.client.failed(504);
            return;
        }
        timeOut(request.lastAttempt);
        submit(new UncommonEvent("time-out", request, () -> {
            if (!request.ended) {
                markEnded(request);
                if (shuttingDown && !request.mayHaveRun) {
                    request.client.rejected(0);
                } else {
                    request.client.failed(504);
                }
                gateway.onRequestCancelled(now(), request.id);
            }
        }));
    }

    /**
     * The process is about to end: each open request is answered as if its time were up, and what still comes is refused
     * at once. On the loop.
     */
    public void expireAll() {
        shuttingDown = true;
        for (ActiveRequest each : new ArrayList<>(activeRequests.values())) {
            if (!each.ended) {
                deadlineExceeded(each);
            }
        }
    }

    private void timeOut(DispatchedAttempt attempt) {
        if (attempt != null) {
            attempt.ended(attempt.started.cancel());
        }
    }

    /** Requests taken on and not answered, or with an attempt still out. */
    public int activeRequestCount() {
        return activeRequests.size();
    }

    /**
     * Hands the module one event at a time: what its actions bring about at once waits until it has returned.
     * A throw fails the request that it concerns, never the process.
     */
    private void submit(Event event) {
        if (processingEvent) {
            events.addLast(event);
            return;
        }
        processingEvent = true;
        try {
            handle(event);
            for (Event next = events.pollFirst(); next != null; next = events.pollFirst()) {
                handle(next);
            }
        } finally {
            processingEvent = false;
        }
    }

    private void handle(Event event) {
        try {
            event.deliver();
        } catch (RuntimeException | Error e) {
            // An Error too: Netty throws one when its buffers are used up, and events must still go on.
            Log.line("fault at " + event.description, e);
            ActiveRequest request = event.request;
            if (request != null && !request.ended) {
                markEnded(request);
                request.client.failed(502);
            }
        }
    }

    private long now() {
        return clock.now() + clockOffsetNanos;
    }

    /** The request has its final answer; from here on nothing is sent to its client. */
    private void markEnded(ActiveRequest request) {
        request.ended = true;
        removeIfDone(request);
    }

    private void removeIfDone(ActiveRequest request) {
        if (request.ended && request.openAttempts == 0 && activeRequests.remove(request.id) != null) {
            // Not before: an attempt that is still out for a client that left may be at a silent backend.
            request.deadlineTimer.cancel(false);
            request.inbound.body().release();
            if (request.unitsHeld) {
                limiter.release(request.inbound);
            }
        }
    }

    // ---- What the module asks for -----------------------------------------------------------------------

    @Override
    public void send(long requestId, long backendId, long timeoutNanos) {
        ActiveRequest request = activeRequests.get(requestId);
        long now = now();
        if (request == null || request.ended || shuttingDown) {
            // Its client left, a fault ended it, or nobody will hear the answer: a send now would run for nobody.
            boolean over = request == null || request.ended;
            Gateway.AttemptReport answer = new Gateway.AttemptReport(requestId, 0, backendId,
                    Gateway.Outcome.NEVER_SENT,
                    over, 0, -1,
                    0, null);
            submit(new OutcomeEvent(null, now, answer));
            return;
        }
        DispatchedAttempt attempt = new DispatchedAttempt(request, backendId, now);
        request.openAttempts++;
        request.lastAttempt = attempt;
        // The request's own timer ends the attempt at the deadline; a shorter time needs one of its own.
        if (timeoutNanos > 0 && now + timeoutNanos < request.deadline) {
            attempt.timeoutTimer = loop.schedule(() -> timeOut(attempt), timeoutNanos, TimeUnit.NANOSECONDS);
        }
        if (authorizer != Authorizer.NONE && attempt.number > 0) {
            authorizeRetry(attempt);
            return;
        }
        attempt.started = request.transport.start(attempt);
    }

    @Override
    public void reject(long requestId, long retryAfterNanos) {
        ActiveRequest request = activeRequests.get(requestId);
        if (request != null && !request.ended) {
            markEnded(request);
            request.client.rejected(retryAfterNanos);
        }
    }

    @Override
    public void fail(long requestId) {
        ActiveRequest request = activeRequests.get(requestId);
        if (request != null && !request.ended) {
            markEnded(request);
            request.client.failed(502);
        }
    }

    @Override
    public void startTimer(int token, long delayNanos) {
        loop.schedule(() -> submit(new UncommonEvent("timer", null, () -> gateway.onTimer(now(), token))), delayNanos,
                TimeUnit.NANOSECONDS);
    }

    /** Nothing to do: the watch runs from the start to the end, whoever asks. */
    @Override
    public void subscribeBackends() { }

    @Override
    public void log(String line) {
        Log.line(line);
    }
}
