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
    private static final long MS = 1_000_000L;
    /** For the way back to the client, who counts from when it sent the request. */
    private static final long WAY_BACK = 12 * MS;
    /**
     * What has come may lie unread for so long before it is looked for: lists before a send, and whether a client has left
     * before its request is taken up. A quarter of the 0.1 s after which no attempt may begin for a client that left; before
     * an attempt's first byte its own client is looked at in any case.
     */
    private static final long LATE = 25 * MS;

    /** How a decision module is made. */
    public interface GatewayFactory {
        Gateway create(Gateway.Settings settings, long now, Gateway.Actions actions);
    }

    /** A request from its arrival until its final answer is given and its last attempt has ended. */
    public final class ActiveRequest {
        private final long id;
        private final InboundRequest arrival;
        private final RequestClient client;
        private final AttemptTransport carrier;
        private final long deadline;
        private final Future<?> timer;
        private int attempts;
        private int out;
        private Try last;
        private boolean over;
        /** Whether the bound has taken its units, and it has come to no backend yet. */
        private boolean bounded;
        /** An attempt ended so that a backend may have run it. */
        private boolean mayHaveRun;
        /** It waits for leave to come in: neither bound nor module has heard of it. */
        private boolean outside;

        private ActiveRequest(long id, InboundRequest arrival, RequestClient client, AttemptTransport carrier,
                long now) {
            this.id = id;
            this.arrival = arrival;
            this.client = client;
            this.carrier = carrier;
            deadline = now + Math.max(0, arrival.remainingMs() * MS - WAY_BACK);
            timer = loop.schedule(new Deadline(this), deadline - now, TimeUnit.NANOSECONDS);
        }

        /** Whether its final answer is given, or nobody waits for it. */
        public boolean isEnded() {
            return over;
        }

        /** The client has gone away: it is owed nothing more. */
        public void clientDisconnected() {
            if (!over && outside) {
                admission.requestEnded(id, arrival);
                end(this);
            } else if (!over) {
                end(this);
                event(new Rare("departure", this, () -> gateway.onRequestCancelled(now(), id)));
                // Without a carriage it is just being started, and its carrier will hear that it is not wanted.
                if (last != null && last.carriage != null && last.carriage.isUnsent()) {
                    timedOut(last); // nobody waits for it: it shall not cost a backend work
                }
            }
        }
    }

    private record Taken(String txn, long until, long id) { }

    // The events of every request are classes: the first compiler, which is all that the platform leaves to a front door,
    // makes a lambda that captures something by a call into the JVM and several through method handles.

    /** Something for the module to hear of. */
    private abstract static class Event {
        private final String what;
        /** Which it concerns, or null. */
        private final ActiveRequest request;

        Event(String what, ActiveRequest request) {
            this.what = what;
            this.request = request;
        }

        abstract void happen();
    }

    /** One of those that are not each request's. */
    private static final class Rare extends Event {
        private final Runnable run;

        Rare(String what, ActiveRequest request, Runnable run) {
            super(what, request);
            this.run = run;
        }

        @Override
        void happen() {
            run.run();
        }
    }

    private final class Came extends Event {
        private final long now;
        private final Gateway.Request told;

        Came(ActiveRequest request, long now, Gateway.Request told) {
            super("arrival", request);
            this.now = now;
            this.told = told;
        }

        @Override
        void happen() {
            gateway.onRequest(now, told);
        }
    }

    private final class Ended extends Event {
        private final long now;
        private final Gateway.AttemptReport told;

        Ended(ActiveRequest request, long now, Gateway.AttemptReport told) {
            super("outcome", request);
            this.now = now;
            this.told = told;
        }

        @Override
        void happen() {
            gateway.onAttemptEnd(now, told);
        }
    }

    private final class Deadline implements Runnable {
        private final ActiveRequest request;

        Deadline(ActiveRequest request) {
            this.request = request;
        }

        @Override
        public void run() {
            expired(request);
        }
    }

    private final class Try extends BackendAttempt {
        private final ActiveRequest live;
        private final int number;
        private long sentAt;
        private AttemptTransport.StartedAttempt carriage;
        private Future<?> timer;

        Try(ActiveRequest live, long backendId, long now) {
            super(backendId);
            this.live = live;
            number = live.attempts++;
            sentAt = now;
        }

        @Override
        public InboundRequest request() {
            return live.arrival;
        }

        @Override
        public RequestClient client() {
            return live.client;
        }

        @Override
        public long remainingNanos() {
            return live.deadline - now();
        }

        @Override
        public long remainingMs() {
            return Math.max(1, remainingNanos() / MS);
        }

        @Override
        public boolean isWanted() {
            if (isLoopLate()) {
                news.run();
            }
            // Always: for how long the loop was at something else before it first read its clock, it can't tell.
            if (!live.over && !live.client.readPending()) {
                live.clientDisconnected();
            }
            return !live.over;
        }

        @Override
        public void sendStarted() {
            sentAt = now();
        }

        @Override
        public void endedWithRequest(Gateway.Outcome outcome, BackendReport report) {
            if (!live.over) {
                end(live);
            }
            ended(outcome, report, null, null);
        }

        @Override
        public void ended(Gateway.Outcome outcome, BackendReport report, ByteBuf body, String contentType) {
            long now = now();
            if (timer != null) {
                timer.cancel(false);
            }
            if (outcome != Gateway.Outcome.NEVER_SENT && outcome != Gateway.Outcome.CONNECT_FAILED) {
                live.bounded = false; // first: the end below may be the last of the request
            }
            live.mayHaveRun |= outcome.mayHaveRun;
            live.out--;
            if (live.last == this) {
                live.last = null;
            }
            if (outcome == Gateway.Outcome.OK && !live.over) {
                end(live);
                live.client.served(body, contentType);
            }
            double charged = outcome == Gateway.Outcome.OK ? report.unitsCharged() : 0;
            if (charged > 0) {
                bound.unitsCharged(live.arrival, charged);
            }
            if (report.quotaUsedPercent() >= 0) {
                bound.quotaUsed(live.arrival, report.quotaUsedPercent());
            }
            long took = clock.arrivedAt(sentAt - clockOffset) + clockOffset - sentAt;
            Gateway.AttemptReport told = new Gateway.AttemptReport(live.id, number, backendId(), outcome, live.over, took,
                    report.quotaUsedPercent(), charged, report.load());
            forget(live);
            event(new Ended(live, now, told));
        }
    }

    private final EventLoop loop;
    private final EventLoopClock clock;
    private final Authorizer admission;
    private final RequestLimiter bound;
    private final List<AttemptTransport> carriers;
    private final Gateway gateway;
    private final List<String> zones;
    private final List<String> kinds;
    /** No client of the deployment waits longer. */
    private final long mostTaken;
    private final LongObjectHashMap<ActiveRequest> live = new LongObjectHashMap<>();
    /** Ids that clients gave, each until its request's time is up: later copies would run a second time. */
    private final HashSet<String> taken = new HashSet<>();
    private final ArrayDeque<Taken> takenInTurn = new ArrayDeque<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    /** Added to the monotonic clock: the module's clock starts at Unix time and never goes back. */
    private final long clockOffset = System.currentTimeMillis() * MS - System.nanoTime();
    private boolean inside;
    /** The process is about to end: nothing is taken on or sent any more. */
    private boolean ending;
    private Runnable news = () -> { };
    private long lastId;

    /**
     * @param loop on which all of this runs
     * @param clock the loop's, so that its lateness isn't told as a backend's
     * @param bound held beside the module's own
     * @param carriers all that attempts are ever carried by
     * @param settings read by the same reader
     */
    public Dispatcher(EventLoop loop, EventLoopClock clock, RequestLimiter bound, List<AttemptTransport> carriers,
            GatewaySettingsReader reader,
            Gateway.Settings settings, GatewayFactory module) {
        this(loop, clock, Authorizer.NONE, bound, carriers, reader, settings, module);
    }

    /** The same where not all may come in. */
    public Dispatcher(EventLoop loop, EventLoopClock clock, Authorizer admission, RequestLimiter bound,
            List<AttemptTransport> carriers,
            GatewaySettingsReader reader, Gateway.Settings settings, GatewayFactory module) {
        this.admission = admission;
        this.bound = bound;
        this.loop = loop;
        this.clock = clock;
        this.carriers = List.copyOf(carriers);
        zones = reader.list("Dcs");
        kinds = reader.list("Flavors");
        mostTaken = reader.maxDeadlineNanos();
        gateway = module.create(settings, now(), this);
        admission.setRevocationListener(this::turnAway);
    }

    // ---- What happens -----------------------------------------------------------------------------------

    /** Whether no other request came with this one's id while that could still be open anywhere. */
    public boolean isUnusedId(String txn) {
        long now = now();
        for (Taken first = takenInTurn.peekFirst(); first != null && first.until() < now;
                first = takenInTurn.peekFirst()) {
            takenInTurn.pollFirst();
            if (live.containsKey(first.id())) {
                takenInTurn.addLast(new Taken(first.txn(), now + mostTaken, first.id()));
            } else {
                taken.remove(first.txn());
            }
        }
        return !taken.contains(txn);
    }

    /**
     * Takes a request on, and its body with it; its final answer goes to the client, perhaps before this returns.
     *
     * @param carrier what its attempts are carried by; one of those given at the start
     */
    public ActiveRequest accept(InboundRequest arrival, RequestClient client, AttemptTransport carrier) {
        long now = now();
        // The id is counted here: what clients send as theirs need not be a number, nor unique.
        ActiveRequest request = new ActiveRequest(++lastId, arrival, client, carrier, now);
        live.put(request.id, request);
        taken.add(arrival.requestId());
        takenInTurn.addLast(new Taken(arrival.requestId(), Math.min(request.deadline, now + mostTaken) + WAY_BACK,
                request.id));
        if (ending) {
            end(request);
            client.rejected(0);
            return request;
        }
        if (admission != Authorizer.NONE) {
            request.outside = true;
            Authorizer.Decision word = admission.authorize(request.id, arrival, request.deadline - now,
                    new AtTheDoor(request));
            if (word instanceof Authorizer.Pending) {
                return request;
            }
            request.outside = false;
            if (word instanceof Authorizer.Denial denial) {
                end(request);
                client.denied(denial);
                return request;
            }
        }
        enter(request, now);
        return request;
    }

    /** It waits for leave to come in. */
    private final class AtTheDoor implements Authorizer.AuthorizationCallback {
        private final ActiveRequest request;

        AtTheDoor(ActiveRequest request) {
            this.request = request;
        }

        @Override
        public void allowed() {
            request.outside = false;
            enter(request, now());
        }

        @Override
        public void denied(Authorizer.Denial denial) {
            request.outside = false;
            end(request);
            request.client.denied(denial);
        }
    }

    private void enter(ActiveRequest request, long now) {
        InboundRequest arrival = request.arrival;
        if (!bound.tryAcquire(arrival)) {
            long retryAfterNs = bound.retryAfterNanos(arrival);
            end(request);
            request.client.rejected(retryAfterNs);
            return;
        }
        request.bounded = true;
        Gateway.Request told = new Gateway.Request(request.id, arrival.requestClass(), arrival.plan(),
                arrival.customer(), arrival.units(), arrival.customerDoorCount(), request.deadline - now,
                        arrival.maxHoldNanos());
        event(new Came(request, now, told));
    }

    /** Those of them that nothing was sent on of; what is out ends as it ends, and asks again before it is sent again. */
    private void turnAway(java.util.function.Predicate<InboundRequest> whose, Authorizer.Denial denial) {
        for (ActiveRequest each : new ArrayList<>(live.values())) {
            if (!each.over && !each.outside && each.out == 0 && whose.test(each.arrival)) {
                withdraw(each, denial);
                event(new Rare("withdrawal", each, () -> gateway.onRequestCancelled(now(), each.id)));
            }
        }
    }

    /** One that may have run already is not told that it hasn't. */
    private void withdraw(ActiveRequest request, Authorizer.Denial denial) {
        end(request);
        if (request.mayHaveRun) {
            request.client.failed(502);
        } else {
            request.client.denied(denial);
        }
    }

    /** A further attempt that waits for leave to be made. */
    private final class Asking implements Authorizer.AuthorizationCallback, AttemptTransport.StartedAttempt {
        private final Try attempt;

        Asking(Try attempt) {
            this.attempt = attempt;
        }

        @Override
        public void allowed() {
            attempt.carriage = null; // being started: it no longer waits here
            attempt.carriage = attempt.live.carrier.start(attempt);
        }

        @Override
        public void denied(Authorizer.Denial denial) {
            if (!attempt.live.over) {
                withdraw(attempt.live, denial);
            }
            attempt.ended(Gateway.Outcome.NEVER_SENT);
        }

        @Override
        public boolean isUnsent() {
            return true;
        }

        @Override
        public Gateway.Outcome cancel() {
            admission.requestEnded(attempt.live.id, attempt.live.arrival);
            return Gateway.Outcome.NEVER_SENT;
        }
    }

    /** What came before is no leave for a further attempt: credentials may have been withdrawn since. */
    private void startAgain(Try attempt) {
        Asking asking = new Asking(attempt);
        attempt.carriage = asking;
        Authorizer.Decision word = admission.authorize(attempt.live.id, attempt.live.arrival, attempt.remainingNanos(),
                asking);
        if (word instanceof Authorizer.Allowed) {
            asking.allowed();
        } else if (word instanceof Authorizer.Denial denial) {
            asking.denied(denial);
        }
    }

    @Override
    public void endpointsUpdated(boolean whole, List<Endpoint> entries) {
        List<Gateway.Backend> told = new ArrayList<>(entries.size());
        for (Endpoint entry : entries) {
            told.add(new Gateway.Backend(entry.id(), place(zones, entry.zone()), place(kinds, entry.type()),
                    entry.group(), entry.state(), entry.weight(), entry.startedAtMs() * MS));
        }
        // The carriers first, or what the module sends to a new backend would find no address; what ends by it
        // is told after the list, or the module would send it to the same backend again.
        if (inside) {
            // Heard by a look before a send: that carrier must know it now, the module after what it is at.
            events.addLast(new Rare("list", null, () -> gateway.onBackends(now(), whole, told)));
            carriers.forEach(carrier -> carrier.endpointsUpdated(whole, entries));
            return;
        }
        event(new Rare("list", null, () -> {
            carriers.forEach(carrier -> carrier.endpointsUpdated(whole, entries));
            gateway.onBackends(now(), whole, told);
        }));
    }

    /** A name that the settings don't know is still not another such name: no two of them are one zone. */
    private static int place(List<String> names, String name) {
        int place = names.indexOf(name);
        return place >= 0 ? place : name.hashCode() | Integer.MIN_VALUE;
    }

    /** What takes in a list that has come and was not read yet; asked for before a send on a loop that is late. */
    public void setDiscoveryPoll(Runnable look) {
        news = look;
    }

    /** Whether what came may have lain unread for so long that it is looked for before anything is sent. */
    public boolean isLoopLate() {
        return clock.maxUnreadNanos() > LATE;
    }

    @Override
    public void discoveryFailed() {
        event(new Rare("list failure", null, () -> gateway.onDiscoveryFailure(now())));
    }

    /** Its time is up: attempts are closed and told, and if the module leaves it at that, it has failed. */
    private void expired(ActiveRequest request) {
        if (request.outside) {
            admission.requestEnded(request.id, request.arrival);
            end(request);
            request.client.failed(504);
            return;
        }
        timedOut(request.last);
        event(new Rare("time-out", request, () -> {
            if (!request.over) {
                end(request);
                if (ending && !request.mayHaveRun) {
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
        ending = true;
        for (ActiveRequest each : new ArrayList<>(live.values())) {
            if (!each.over) {
                expired(each);
            }
        }
    }

    private void timedOut(Try attempt) {
        if (attempt != null) {
            attempt.ended(attempt.carriage.cancel());
        }
    }

    /** Requests taken on and not answered, or with an attempt still out. */
    public int activeRequestCount() {
        return live.size();
    }

    /**
     * Hands the module one event at a time: what its actions bring about at once waits until it has returned.
     * A throw fails the request that it concerns, never the process.
     */
    private void event(Event event) {
        if (inside) {
            events.addLast(event);
            return;
        }
        inside = true;
        try {
            run(event);
            for (Event next = events.pollFirst(); next != null; next = events.pollFirst()) {
                run(next);
            }
        } finally {
            inside = false;
        }
    }

    private void run(Event event) {
        try {
            event.happen();
        } catch (RuntimeException | Error e) {
            // An Error too: Netty throws one when its buffers are used up, and events must still go on.
            Log.line("fault at " + event.what, e);
            ActiveRequest request = event.request;
            if (request != null && !request.over) {
                end(request);
                request.client.failed(502);
            }
        }
    }

    private long now() {
        return clock.now() + clockOffset;
    }

    /** The request has its final answer; from here on nothing is sent to its client. */
    private void end(ActiveRequest request) {
        request.over = true;
        forget(request);
    }

    private void forget(ActiveRequest request) {
        if (request.over && request.out == 0 && live.remove(request.id) != null) {
            // Not before: an attempt that is still out for a client that left may be at a silent backend.
            request.timer.cancel(false);
            request.arrival.body().release();
            if (request.bounded) {
                bound.release(request.arrival);
            }
        }
    }

    // ---- What the module asks for -----------------------------------------------------------------------

    @Override
    public void send(long requestId, long backendId, long timeoutNs) {
        ActiveRequest request = live.get(requestId);
        long now = now();
        if (request == null || request.over || ending) {
            // Its client left, a fault ended it, or nobody will hear the answer: a send now would run for nobody.
            boolean over = request == null || request.over;
            Gateway.AttemptReport told = new Gateway.AttemptReport(requestId, 0, backendId, Gateway.Outcome.NEVER_SENT,
                    over, 0, -1,
                    0, null);
            event(new Ended(null, now, told));
            return;
        }
        Try attempt = new Try(request, backendId, now);
        request.out++;
        request.last = attempt;
        // The request's own timer ends the attempt at the deadline; a shorter time needs one of its own.
        if (timeoutNs > 0 && now + timeoutNs < request.deadline) {
            attempt.timer = loop.schedule(() -> timedOut(attempt), timeoutNs, TimeUnit.NANOSECONDS);
        }
        if (admission != Authorizer.NONE && attempt.number > 0) {
            startAgain(attempt);
            return;
        }
        attempt.carriage = request.carrier.start(attempt);
    }

    @Override
    public void reject(long requestId, long retryAfterNs) {
        ActiveRequest request = live.get(requestId);
        if (request != null && !request.over) {
            end(request);
            request.client.rejected(retryAfterNs);
        }
    }

    @Override
    public void fail(long requestId) {
        ActiveRequest request = live.get(requestId);
        if (request != null && !request.over) {
            end(request);
            request.client.failed(502);
        }
    }

    @Override
    public void startTimer(int token, long ns) {
        loop.schedule(() -> event(new Rare("timer", null, () -> gateway.onTimer(now(), token))), ns,
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
