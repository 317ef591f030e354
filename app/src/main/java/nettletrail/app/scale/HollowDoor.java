package nettletrail.app.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.local.LocalChannel;
import io.netty.util.AsciiString;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import nettletrail.core.AttemptTransport;
import nettletrail.core.BackendAttempt;
import nettletrail.core.BackendReport;
import nettletrail.core.Dispatcher;
import nettletrail.core.Endpoint;
import nettletrail.core.EventLoopClock;
import nettletrail.core.InboundRequest;
import nettletrail.core.RequestClient;
import nettletrail.core.RequestLimiter;
import nettletrail.core.RequestValidator;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;
import nettletrail.discovery.DiscoveryClient;
import nettletrail.upstream.BackendPool;

/**
 * A front door without clients' sockets: discovery's client on a socket, the intake, the dispatcher, the module and the
 * pool of connections are the real ones; connections to backends are in memory, and requests come from a draw. All of it
 * on one loop, which it may share.
 */
final class HollowDoor implements Endpoint.Listener {
    /** What all hollow front doors of a process share. */
    record Host(FleetPlan plan, EventLoop loop, EventLoopClock clock, List<GatewaySettingsReader> readers,
            Mechanism mechanism,
            Backends backends) { }

    /** What became of attempts in this process, by backend. On the loop. */
    interface Backends {
        /** An attempt goes there; false if that backend is down. */
        boolean sent(long backendId);
    }

    /** As {@link BackendPool} makes it of the settings'. */
    private static final int IDLE_PARTS = 3;
    private static final long REFUSED_MS = 1;
    private static final HexFormat HEX = HexFormat.of();

    final int number;
    final boolean driven;
    final CountedLoop control;
    private final CountedLoop requests;
    private final Host host;
    private final HollowBackends backends;
    private final Dispatcher dispatcher;
    private final DiscoveryClient discovery;
    private final RequestValidator intake;
    private final AttemptTransport carrier;
    private final SplittableRandom random;
    /** Version and when it had been taken in, ns; versions only grow. */
    private final List<long[]> heard = new ArrayList<>();
    private TimedModule module;
    private long nextId;
    private long dueNs;
    private boolean ended;
    boolean paused;
    long arrived;
    long served;
    long refused;
    long failed;
    long attempts;

    /** On the loop, as all else. */
    HollowDoor(Host host, int number, int life, boolean driven, int sockets, InetSocketAddress agent) {
        this.host = host;
        this.number = number;
        this.driven = driven;
        FleetPlan plan = host.plan();
        long seed = plan.seed() * 1_000_003 + number * 31L + life;
        random = new SplittableRandom(seed);
        nextId = (long) number << 40 | (long) life << 32;
        GatewaySettingsReader reader = host.readers().get(FleetPlan.zone(number));
        Gateway.Settings settings = reader.settings(seed);
        control = new CountedLoop(host.loop(), (index, at) -> heard.add(new long[] {index, at}));
        requests = new CountedLoop(host.loop(), null);
        long idle = reader.durationNanos("Ceilings.ConnIdle");
        backends = new HollowBackends(host.loop(), idle / IDLE_PARTS * 2, seed + 1);
        BackendPool pool = new BackendPool(requests, new BackendReport.Reader(reader),
                new Bootstrap().group(host.loop()).channel(LocalChannel.class), idle, sockets / 2);
        carrier = new Counted(pool);
        intake = new RequestValidator(reader, settings);
        dispatcher = new Dispatcher(requests, host.clock(), RequestLimiter.NONE, List.of(carrier), reader, settings,
                (told, now, actions) -> {
                    module = new TimedModule(host.mechanism().maker(number).create(told, now, actions));
                    return module;
                });
        discovery = new DiscoveryClient(control, agent, -1, seed, this);
        dispatcher.setDiscoveryPoll(discovery::readPending);
        control.execute(discovery::poll);
        if (driven) {
            dueNs = System.nanoTime();
            tick();
        }
    }

    /** It is gone, with all that it held. */
    void end() {
        ended = true;
        control.end();
        requests.end();
        backends.end();
    }

    long moduleRequestNs() {
        return module.requestNs;
    }

    long moduleListNs() {
        return module.listNs;
    }

    int connections() {
        return backends.connections();
    }

    long connects() {
        return backends.connects;
    }

    /** Of discovery, taken in. */
    long answers() {
        return heard.size();
    }

    /** When it had this version or a later one, ns; 0 if it has not. */
    long toldAt(long index) {
        for (int i = heard.size() - 1; i >= 0; i--) {
            if (heard.get(i)[0] < index) {
                return i + 1 < heard.size() ? heard.get(i + 1)[1] : 0;
            }
        }
        return heard.isEmpty() ? 0 : heard.get(0)[1];
    }

    @Override
    public void endpointsUpdated(boolean whole, List<Endpoint> entries) {
        List<Endpoint> hollow = new ArrayList<>(entries.size());
        for (Endpoint each : entries) {
            hollow.add(new Endpoint(each.id(), each.name(), each.address() == null ? null : backends.address(), each.zone(),
                    each.type(), each.group(), each.state(), each.weight(), each.startedAtMs()));
        }
        dispatcher.endpointsUpdated(whole, hollow);
    }

    @Override
    public void discoveryFailed() {
        dispatcher.discoveryFailed();
    }

    // ---- Its share of the traffic ------------------------------------------------------------------------

    private void tick() {
        if (ended) {
            return;
        }
        long now = System.nanoTime();
        while (dueNs - now <= 0) {
            dueNs += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / FleetPlan.DOOR_RATE);
            if (!heard.isEmpty() && !paused) {
                arrive(now);
            }
        }
        host.loop().schedule(this::tick, dueNs - now, TimeUnit.NANOSECONDS);
    }

    private void arrive(long now) {
        FleetPlan plan = host.plan();
        boolean unsafe = random.nextInt(3) == 0;
        long tenant = plan.tenant(number, random);
        Map<AsciiString, String> headers = Map.of(RequestValidator.TXN, HEX.toHexDigits(nextId++),
                RequestValidator.LANE,
                unsafe ? "order-submit" : "order-status", RequestValidator.PLAN, "standard", RequestValidator.CUSTOMER,
                HEX.toHexDigits(tenant), RequestValidator.REMAINING, "3000", RequestValidator.QUOTA,
                "units=1,spread=" + Math.min(FleetPlan.SET, plan.doors()) + ",first=" + plan.first(tenant));
        InboundRequest arrival = intake.validate(unsafe ? io.netty.handler.codec.http.HttpMethod.POST
                : io.netty.handler.codec.http.HttpMethod.GET, "/api/port", headers::get, Unpooled.EMPTY_BUFFER, now);
        if (arrival == null || !dispatcher.isUnusedId(arrival.requestId())) {
            throw new IllegalStateException("a drawn request is malformed: " + headers);
        }
        arrived++;
        dispatcher.accept(arrival, new Answered(), carrier);
    }

    private final class Answered implements RequestClient {
        @Override
        public void served(ByteBuf body, String contentType) {
            served++;
        }

        @Override
        public void rejected(long retryAfterNs) {
            refused++;
        }

        @Override
        public void failed(int status) {
            failed++;
        }
    }

    /** The pool, with a count of where attempts go, and backends that refuse connections while they are down. */
    private final class Counted implements AttemptTransport {
        private final BackendPool pool;

        Counted(BackendPool pool) {
            this.pool = pool;
        }

        @Override
        public void endpointsUpdated(boolean whole, List<Endpoint> entries) {
            pool.endpointsUpdated(whole, entries);
        }

        @Override
        public StartedAttempt start(BackendAttempt attempt) {
            attempts++;
            if (host.backends().sent(attempt.backendId())) {
                return pool.start(attempt);
            }
            Refused refused = new Refused(attempt);
            requests.schedule(refused::tell, REFUSED_MS, TimeUnit.MILLISECONDS);
            return refused;
        }
    }

    private static final class Refused implements AttemptTransport.StartedAttempt {
        private final BackendAttempt attempt;
        private boolean over;

        Refused(BackendAttempt attempt) {
            this.attempt = attempt;
        }

        void tell() {
            if (!over) {
                over = true;
                attempt.ended(Gateway.Outcome.CONNECT_FAILED);
            }
        }

        @Override
        public boolean isUnsent() {
            return true;
        }

        @Override
        public Gateway.Outcome cancel() {
            over = true;
            return Gateway.Outcome.CONNECT_FAILED;
        }
    }
}
