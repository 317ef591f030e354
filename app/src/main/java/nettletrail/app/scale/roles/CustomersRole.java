package nettletrail.app.scale.roles;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewayDecider;
import nettletrail.decision.GatewaySettingsReader;
import nettletrail.emulator.capacity.Gauge;
import nettletrail.emulator.capacity.Rounded;

/** What the decision module of a front door keeps of each customer, and what a request costs by how many there are. */
final class CustomersRole {
    private static final long MS = 1_000_000L;
    private static final int BACKENDS = 20;
    private static final int SET = 480;

    private final Gateway.Settings settings;

    CustomersRole(long seed) {

        settings = new GatewaySettingsReader("Balancers=" + SET
                + "\nServices.count=1\nServices.0.Deadline=3e9\nServices.0.Aim=7.5e8\n"
                + "Services.0.Effect=free\nTiersOfService.count=1\nTiersOfService.0.PerSecond=20\nTiersOfService.0.Burst=40\n"
                + "Ceilings.MaxAttempts=2\nFamilyInfo.Metering=5e9\n").settings(seed);
    }

    /** A module, and what it sends is answered by whoever plays the backends. */
    private static final class Played implements Gateway.Actions {
        private final List<long[]> sent = new ArrayList<>();
        private final GatewayDecider brain;
        private long requests;
        private long sends;

        Played(Gateway.Settings settings) {
            brain = new GatewayDecider(settings, 0, this);
            List<Gateway.Backend> list = new ArrayList<>();
            for (int i = 0; i < BACKENDS; i++) {
                list.add(new Gateway.Backend(i + 1, 0, 0, 1, Gateway.DiscoveryState.READY, 1, 0));
            }
            brain.onBackends(0, true, list);
        }

        /** A request, and its answer 1 ms later. */
        private void request(long now, long id, long customer) {
            requests++;
            // A set of one, so that its store holds a request: a refused one is cheaper.
            brain.onRequest(now, new Gateway.Request(id, 0, 0, customer, 1, 1, 3_000 * MS));
            for (int i = 0; i < sent.size(); i++) {
                long[] to = sent.get(i);
                brain.onAttemptEnd(now + MS, new Gateway.AttemptReport(to[0], 0, to[1], Gateway.Outcome.OK, true, MS,
                        50, 0, null));
            }
            sent.clear();
        }

        @Override
        public void send(long requestId, long backendId, long timeoutNs) {
            sends++;
            sent.add(new long[] {requestId, backendId});
        }

        @Override
        public void reject(long requestId, long retryAfterNs) { }

        @Override
        public void fail(long requestId) { }

        @Override
        public void startTimer(int token, long ns) { }

        @Override
        public void subscribeBackends() { }

        @Override
        public void log(String line) { }
    }

    /** One size. */
    Map<String, Object> size(int customers, double seconds) {
        Map<String, Object> told = new LinkedHashMap<>();
        told.put("customers", customers);
        Played[] made = new Played[1];
        long before = Gauge.keptBytes(() -> new Played(settings));
        long kept = Gauge.keptBytes(() -> {
            made[0] = new Played(settings);
            // All within 10 s, so that none is forgotten.
            for (int i = 0; i < customers; i++) {
                made[0].request(i * (10_000 * MS / customers), i, i * 0x9e3779b97f4a7c15L);
            }
            return made[0];
        });
        told.put("bytes", kept - before);
        told.put("bytes_a_customer", Rounded.of((kept - before) / (double) customers));
        made[0].requests = 0;
        made[0].sends = 0;
        told.put("us_a_request", Rounded.of(request(made[0], customers, seconds)));
        told.put("sent_share", Rounded.of(made[0].sends / (double) made[0].requests));
        return told;
    }

    /** µs of processor time for a request and its answer while so many are remembered, each asking in turn. */
    private static double request(Played played, int customers, double seconds) {
        long now = 10_000 * MS;
        long id = customers;
        double best = Double.POSITIVE_INFINITY;
        long until = System.nanoTime() + (long) (seconds * 1e9);
        do {
            long cpu = Gauge.cpuNs();
            for (int i = 0; i < 1_000; i++) {
                // Each is asked for once in 18 s: it is kept, and looked at by each sweep.
                now += 18_000 * MS / customers;
                played.request(now, id, (id % customers) * 0x9e3779b97f4a7c15L);
                id++;
            }
            best = Math.min(best, (Gauge.cpuNs() - cpu) / 1e6);
        } while (System.nanoTime() < until);
        return best;
    }

    /**
     * µs of processor time for a request while all that are remembered are past their time, so that each request's sweep
     * looks at two and forgets them.
     */
    double sweepUs(int customers) {
        Played played = new Played(settings);
        for (int i = 0; i < customers; i++) {
            played.request(i, i, i * 0x9e3779b97f4a7c15L);
        }
        int requests = customers / 4;
        long now = 3_600_000 * MS;
        long cpu = Gauge.cpuNs();
        for (int i = 0; i < requests; i++) {
            played.request(now + i * MS, customers + i, -1);
        }
        return (Gauge.cpuNs() - cpu) / 1e3 / requests;
    }

}
