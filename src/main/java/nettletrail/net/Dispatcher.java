package nettletrail.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import nettletrail.Gateway;
import nettletrail.SettingsReader;

/**
 * Each live request and its attempts, and the only place that touches the decision module: it turns what happens
 * on sockets and clocks into the module's events, and the module's actions into answers, attempts and timers.
 * All of it runs on the one event loop.
 */
final class Dispatcher implements Gateway.Actions, Discovery.Listener {
    static final AsciiString TXN = AsciiString.cached("X-Txn");
    static final AsciiString REMAINING = AsciiString.cached("X-Remaining-Ms");
    private static final AsciiString USED = AsciiString.cached("X-Quota-Used");
    private static final AsciiString CHARGED = AsciiString.cached("X-Units-Charged");
    private static final AsciiString LOAD = AsciiString.cached("X-Pressure");
    private static final String HOST = "service.internal";
    private static final long MS = 1_000_000L;
    /** For the way back to the client, who counts from when it sent the request. */
    private static final long WAY_BACK = 12 * MS;
    /** True units may exceed the largest guess, but not by more than this. */
    private static final double MOST_OVER_GUESS = 4;
    /** A report of more is none. */
    private static final double MOST_LOAD = 100_000;
    /** Percent of a quota; more than this no backend can have counted. */
    private static final long MOST_USED = 10_000;
    /** No client of the deployment waits longer. */
    private static final long MOST_TAKEN = 5_000 * MS;

    /** Where a request's one final answer goes. */
    interface Client {
        /** The body is the caller's; what is kept of it must be retained. */
        void served(ByteBuf body, String contentType);

        void refused(long retryAfterNs);

        void failed(int status);
    }

    /**
     * What a client sent, checked.
     *
     * @param body sent on with every attempt; released when the request is over
     * @param remainingMs how long the client waits, from when it sent this
     */
    record Arrival(HttpMethod method, String uri, String txn, int requestClass, int plan, long customer,
            double units, int setSize, long remainingMs, ByteBuf body) { }

    /** A request from its arrival until its final answer is given and its last attempt has ended. */
    final class Live {
        final long id;
        final Arrival arrival;
        final Client client;
        final long deadline;
        final Future<?> timer;
        int attempts;
        int out;
        Try last;
        boolean over;

        private Live(long id, Arrival arrival, Client client, long now) {
            this.id = id;
            this.arrival = arrival;
            this.client = client;
            deadline = now + Math.max(0, arrival.remainingMs() * MS - WAY_BACK);
            timer = loop.schedule(() -> expired(this), deadline - now, TimeUnit.NANOSECONDS);
        }

        /** The client has gone away: it is owed nothing more. */
        void departed() {
            if (!over) {
                end(this);
                event("departure", this, () -> gateway.departed(now(), id));
                if (last != null && last.unsent()) {
                    timedOut(last); // nobody waits for it: it shall not cost a backend work
                }
            }
        }
    }

    private record Taken(String txn, long until) { }

    private record Event(String what, Live request, Runnable run) { }

    private final class Try extends BackendPool.Attempt {
        final Live live;
        final int number;
        final long sentAt;
        Future<?> timer;

        Try(Live live, long backendId, long now) {
            super(backendId);
            this.live = live;
            number = live.attempts++;
            sentAt = now;
        }

        @Override
        FullHttpRequest request() {
            Arrival arrival = live.arrival;
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, arrival.method(),
                    arrival.uri(), arrival.body().retainedDuplicate());
            HttpHeaders headers = request.headers();
            headers.set(HttpHeaderNames.HOST, HOST);
            headers.set(TXN, arrival.txn());
            headers.set(REMAINING, Long.toString(Math.max(1, (live.deadline - now()) / MS)));
            if (arrival.method() != HttpMethod.GET) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(arrival.body().readableBytes()));
            }
            return request;
        }

        @Override
        void ended(Gateway.Outcome outcome, HttpResponse answer, ByteBuf body) {
            long now = now();
            int used = -1;
            double charged = 0;
            Gateway.Load load = null;
            if (answer != null) {
                HttpHeaders headers = answer.headers();
                // Percent as it is: the header is already less the 1 that the simulator's wire adds.
                long told = Pairs.whole(headers.get(USED));
                used = told <= MOST_USED ? (int) told : -1;
                charged = outcome == Gateway.Outcome.OK ? Pairs.number(headers.get(CHARGED)) : 0;
                charged = charged > 0 && charged <= mostCharged ? charged : 0;
                load = load(headers.get(LOAD));
            }
            if (timer != null) {
                timer.cancel(false);
            }
            live.out--;
            if (live.last == this) {
                live.last = null;
            }
            if (outcome == Gateway.Outcome.OK && !live.over) {
                end(live);
                live.client.served(body, answer.headers().get(HttpHeaderNames.CONTENT_TYPE));
            }
            Gateway.Answer told = new Gateway.Answer(live.id, number, backendId, outcome, live.over, now - sentAt,
                    used, charged, load);
            forget(live);
            event("outcome", live, () -> gateway.answered(now, told));
        }
    }

    private final EventLoop loop;
    private final BackendPool pool;
    private final Gateway gateway;
    private final List<String> zones;
    private final List<String> kinds;
    private final List<String> reports;
    private final double mostCharged;
    private final LongObjectHashMap<Live> live = new LongObjectHashMap<>();
    /** Ids that clients gave, each until its request's time is up: later copies would run a second time. */
    private final HashSet<String> taken = new HashSet<>();
    private final ArrayDeque<Taken> takenInTurn = new ArrayDeque<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    /** Added to the monotonic clock: the module's clock starts at Unix time and never goes back. */
    private final long clockOffset = System.currentTimeMillis() * MS - System.nanoTime();
    private boolean inside;
    private long lastId;

    Dispatcher(EventLoop loop, BackendPool pool, SettingsReader reader, Gateway.Settings settings,
            FrontDoor.Maker module) {
        this.loop = loop;
        this.pool = pool;
        zones = reader.list("Dcs");
        kinds = reader.list("Flavors");
        reports = reader.reportFields();
        mostCharged = reader.mostUnits() > 0 ? MOST_OVER_GUESS * reader.mostUnits() : Double.MAX_VALUE;
        gateway = module.make(settings, now(), this);
    }

    // ---- What happens -----------------------------------------------------------------------------------

    /** Whether no other request came with this one's id while that could still be open anywhere. */
    boolean isNew(Arrival arrival) {
        for (Taken first = takenInTurn.peekFirst(); first != null && first.until() < now();
                first = takenInTurn.peekFirst()) {
            taken.remove(takenInTurn.pollFirst().txn());
        }
        return !taken.contains(arrival.txn());
    }

    /** Takes a request on; its final answer goes to the client, perhaps before this returns. */
    Live arrived(Arrival arrival, Client client) {
        long now = now();
        // The id is counted here: what clients send as theirs need not be a number, nor unique.
        Live request = new Live(++lastId, arrival, client, now);
        live.put(request.id, request);
        taken.add(arrival.txn());
        takenInTurn.addLast(new Taken(arrival.txn(), Math.min(request.deadline, now + MOST_TAKEN) + WAY_BACK));
        Gateway.Request told = new Gateway.Request(request.id, arrival.requestClass(), arrival.plan(),
                arrival.customer(), arrival.units(), arrival.setSize(), request.deadline - now);
        event("arrival", request, () -> gateway.arrived(now, told));
        return request;
    }

    @Override
    public void listed(boolean whole, List<Discovery.Endpoint> entries) {
        List<Gateway.Backend> told = new ArrayList<>(entries.size());
        for (Discovery.Endpoint entry : entries) {
            told.add(new Gateway.Backend(entry.id(), zones.indexOf(entry.zone()), kinds.indexOf(entry.type()),
                    entry.group(), entry.state(), entry.weight(), entry.sinceMs() * MS));
        }
        // The pool first, or what the module sends to a new backend would find no address; what ends by it
        // is told after the list, or the module would send it to the same backend again.
        event("list", null, () -> {
            pool.listed(whole, entries);
            gateway.listed(now(), whole, told);
        });
    }

    @Override
    public void listFailed() {
        event("list failure", null, () -> gateway.listFailed(now()));
    }

    /** Its time is up: attempts are closed and told, and if the module leaves it at that, it has failed. */
    private void expired(Live request) {
        timedOut(request.last);
        event("time-out", request, () -> {
            if (!request.over) {
                end(request);
                request.client.failed(504);
                gateway.departed(now(), request.id);
            }
        });
    }

    private void timedOut(Try attempt) {
        if (attempt != null) {
            attempt.ended(pool.abandon(attempt), null, null);
        }
    }

    int held() {
        return live.size();
    }

    /**
     * Hands the module one event at a time: what its actions bring about at once waits until it has returned.
     * A throw fails the request that it concerns, never the process.
     */
    private void event(String what, Live request, Runnable event) {
        events.addLast(new Event(what, request, event));
        if (inside) {
            return;
        }
        inside = true;
        try {
            for (Event next = events.pollFirst(); next != null; next = events.pollFirst()) {
                run(next);
            }
        } finally {
            inside = false;
        }
    }

    private void run(Event event) {
        try {
            event.run().run();
        } catch (RuntimeException | Error e) {
            // An Error too: Netty throws one when its buffers are used up, and events must still go on.
            Log.line("fault at " + event.what(), e);
            Live request = event.request();
            if (request != null && !request.over) {
                end(request);
                request.client.failed(502);
            }
        }
    }

    /** The header names its values as the settings do, in whatever order. */
    private Gateway.Load load(String text) {
        if (reports.isEmpty() || text == null) {
            return null;
        }
        Gateway.Load load = new Gateway.Load(value(text, SettingsReader.WAITING), value(text, SettingsReader.BUSY),
                value(text, SettingsReader.SERVED));
        boolean none = Double.isNaN(load.waiting()) && Double.isNaN(load.busy()) && Double.isNaN(load.servedPerS());
        return none || load.waiting() > MOST_LOAD || load.busy() > MOST_LOAD ? null : load;
    }

    private double value(String text, String field) {
        return reports.contains(field) ? Pairs.number(text, field) : Double.NaN;
    }

    private long now() {
        return System.nanoTime() + clockOffset;
    }

    /** The request has its final answer; from here on nothing is sent to its client. */
    private void end(Live request) {
        request.over = true;
        forget(request);
    }

    private void forget(Live request) {
        if (request.over && request.out == 0 && live.remove(request.id) != null) {
            // Not before: an attempt that is still out for a client that left may be at a silent backend.
            request.timer.cancel(false);
            request.arrival.body().release();
        }
    }

    // ---- What the module asks for -----------------------------------------------------------------------

    @Override
    public void send(long requestId, long backendId, long timeoutNs) {
        Live request = live.get(requestId);
        long now = now();
        if (request == null || request.over) {
            // Its client left, or a fault ended it: a send now would run for nobody.
            Gateway.Answer told = new Gateway.Answer(requestId, 0, backendId, Gateway.Outcome.NEVER_SENT, true, 0, -1,
                    0, null);
            event("outcome", null, () -> gateway.answered(now(), told));
            return;
        }
        Try attempt = new Try(request, backendId, now);
        request.out++;
        request.last = attempt;
        // The request's own timer ends the attempt at the deadline; a shorter time needs one of its own.
        if (timeoutNs > 0 && now + timeoutNs < request.deadline) {
            attempt.timer = loop.schedule(() -> timedOut(attempt), timeoutNs, TimeUnit.NANOSECONDS);
        }
        pool.start(attempt);
    }

    @Override
    public void refuse(long requestId, long retryAfterNs) {
        Live request = live.get(requestId);
        if (request != null && !request.over) {
            end(request);
            request.client.refused(retryAfterNs);
        }
    }

    @Override
    public void fail(long requestId) {
        Live request = live.get(requestId);
        if (request != null && !request.over) {
            end(request);
            request.client.failed(502);
        }
    }

    @Override
    public void wakeIn(int token, long ns) {
        loop.schedule(() -> event("timer", null, () -> gateway.woken(now(), token)), ns, TimeUnit.NANOSECONDS);
    }

    /** Nothing to do: the watch runs from the start to the end, whoever asks. */
    @Override
    public void followList() { }

    @Override
    public void log(String line) {
        Log.line(line);
    }
}
