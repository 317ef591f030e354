package nettletrail.app.scale.thin;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import nettletrail.decision.Gateway;
import nettletrail.decision.Gateway.AttemptReport;
import nettletrail.decision.Gateway.Backend;
import nettletrail.decision.Gateway.DiscoveryState;
import nettletrail.decision.Gateway.Outcome;
import nettletrail.decision.Gateway.Request;
import nettletrail.decision.GatewayDecider;

/**
 * Processor time of one door's decision module: one door's share of the traffic before the whole list, in virtual
 * time, warm. What comes, and when answers come, does not depend on what the module chooses. One thread.
 */
public final class ModuleCost {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final int ROUNDS = 3;
    /** Changed entries, and whole lists, in a timed row. */
    private static final int CHANGES = 200;
    private static final int LISTS = 10;

    /**
     * Processor time, the least of three rows of each.
     *
     * @param backends in the list
     * @param usPerRequest us for one request: it comes, is sent, is answered
     * @param usPerChange us for one changed entry
     * @param usPerList us for a whole list of the same entries
     */
    public record Cost(int backends, double usPerRequest, double usPerChange, double usPerList) { }

    private record Out(long at, long id, long backend, long took) { }

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final PriorityQueue<Out> out = new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
    private final SplittableRandom chance;
    private final List<Backend> list = new ArrayList<>();
    private final double perSecond;
    private final GatewayDecider brain;
    private long now = 1_000 * SECOND;
    private long id;

    private ModuleCost(int doors, int backends, double perSecond, long seed) {
        this.perSecond = perSecond;
        chance = new SplittableRandom(seed);
        for (int i = 0; i < backends; i++) {
            list.add(new Backend(i, i % ThinCase.ZONES, 0, 0, DiscoveryState.READY, 1, 0));
        }
        brain = new GatewayDecider(ThinDoor.settings(doors, 0, seed), now, new Gateway.Actions() {
            @Override
            public void send(long requestId, long backendId, long timeoutNs) {
                long took = (long) (75 * MS * (1 - Math.log(1 - chance.nextDouble())));
                out.add(new Out(now + took, requestId, backendId, took));
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
        });
        brain.onBackends(now, true, list);
    }

    /**
     * Measures.
     *
     * @param doors as the settings tell it, 1 and up
     * @param backends 1 and up
     * @param perSecond requests a second at this door, above 0
     * @param requests in a timed row; as many warm up
     * @param seed of arrivals and answer times
     */
    public static Cost measure(int doors, int backends, double perSecond, int requests, long seed) {
        Gateway.requireInRange(doors >= 1, "doors");
        Gateway.requireInRange(backends >= 1, "backends");
        Gateway.requireInRange(perSecond > 0, "perSecond");
        Gateway.requireInRange(requests >= 1, "requests");
        ModuleCost cost = new ModuleCost(doors, backends, perSecond, seed);
        cost.requests(requests);
        cost.changes();
        cost.lists();
        double request = Double.MAX_VALUE;
        double change = Double.MAX_VALUE;
        double whole = Double.MAX_VALUE;
        for (int i = 0; i < ROUNDS; i++) {
            request = Math.min(request, cost.requests(requests));
            change = Math.min(change, cost.changes());
            whole = Math.min(whole, cost.lists());
        }
        return new Cost(backends, request, change, whole);
    }

    private double requests(int many) {
        long before = threads.getCurrentThreadCpuTime();
        for (int i = 0; i < many; i++) {
            now += (long) (-Math.log(1 - chance.nextDouble()) * SECOND / perSecond);
            long arrived = now;
            while (!out.isEmpty() && out.peek().at() <= arrived) {
                Out next = out.poll();
                now = next.at();
                brain.onAttemptEnd(now, new AttemptReport(next.id(), 0, next.backend(), Outcome.OK, true, next.took(),
                        -1, 0, null));
            }
            now = arrived;
            brain.onTimer(now, 0);
            brain.onRequest(now, new Request(++id, 0, 0, chance.nextInt(ThinCase.CUSTOMERS), 1, 1,
                    ThinCase.DEADLINE_MS * MS));
        }
        return (threads.getCurrentThreadCpuTime() - before) / 1e3 / many;
    }

    private double changes() {
        long before = threads.getCurrentThreadCpuTime();
        for (int i = 0; i < CHANGES; i++) {
            brain.onBackends(now, false, List.of(list.get(chance.nextInt(list.size()))));
        }
        return (threads.getCurrentThreadCpuTime() - before) / 1e3 / CHANGES;
    }

    private double lists() {
        long before = threads.getCurrentThreadCpuTime();
        for (int i = 0; i < LISTS; i++) {
            brain.onBackends(now, true, list);
        }
        return (threads.getCurrentThreadCpuTime() - before) / 1e3 / LISTS;
    }
}
