package nettletrail.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import nettletrail.decision.Gateway.AttemptReport;
import nettletrail.decision.Gateway.Backend;
import nettletrail.decision.Gateway.DedupScope;
import nettletrail.decision.Gateway.DiscoveryState;
import nettletrail.decision.Gateway.Idempotency;
import nettletrail.decision.Gateway.Outcome;
import nettletrail.decision.Gateway.Plan;
import nettletrail.decision.Gateway.Request;
import nettletrail.decision.Gateway.RequestClass;
import nettletrail.decision.Gateway.Settings;
import org.junit.jupiter.api.Test;

/** The rate that a cap on attempts out stands for follows what is asked, whichever class the settings name first. */
class CapRateTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final int CAPPED = 0;
    private static final int RATED = 1;
    private static final int FREE = 2;
    private static final int QUICK = 1;

    /** One place at one backend: what comes next when it is free is the lowest counter's. */
    private static final class OnePlace implements Gateway.Actions {
        private final List<Long> sent = new ArrayList<>();
        private final GatewayDecider brain;
        private long now = 1_000 * SECOND;
        private long id;

        OnePlace() {
            RequestClass slow = new RequestClass(10 * SECOND, 1, 0, Idempotency.IDEMPOTENT, DedupScope.ALL, 0);
            RequestClass quick = new RequestClass(SECOND, 1, 0, Idempotency.IDEMPOTENT, DedupScope.ALL, 0);
            Plan capped = new Plan(0, 0, 2, 0, 0, 0, 1, 0, 1);
            Plan rated = new Plan(4, 100, 0, 0, 0, 0, 1, 0, 1);
            Plan free = new Plan(0, 0, 0, 0, 0, 0, 0, 0, 1);
            brain = new GatewayDecider(new Settings(12, 0, 7, 2 * MS, 1, false, 0.2, 10 * SECOND, 2, 2 * SECOND, 0,
                    SECOND,
                    List.of(slow, quick), List.of(capped, rated, free)), now, this);
            brain.onBackends(now, true, List.of(new Backend(1, 0, 0, 0, DiscoveryState.READY, 1, 0)));
        }

        long arrive(int plan) {
            brain.onRequest(now, new Request(++id, QUICK, plan, plan + 1, 1, 1, 3 * SECOND));
            return id;
        }

        void answer(long request) {
            brain.onAttemptEnd(now, new AttemptReport(request, 0, 1, Outcome.OK, true, 200 * MS, -1, 0, null));
        }

        @Override
        public void send(long requestId, long backendId, long timeoutNs) {
            sent.add(requestId);
        }

        @Override
        public void reject(long requestId, long retryAfterNs) {
            throw new AssertionError("refused " + requestId);
        }

        @Override
        public void fail(long requestId) {
            throw new AssertionError("failed " + requestId);
        }

        @Override
        public void startTimer(int token, long ns) { }

        @Override
        public void subscribeBackends() { }

        @Override
        public void log(String line) { }
    }

    /** Two at once that take 0.2 s each are ten a second, more than four: but by the slow class's 2 s they were one. */
    @Test
    void aCapWeighsAsMuchAsItsRequestsMayUse() {
        OnePlace door = new OnePlace();
        for (int i = 0; i < 300; i++) {
            door.answer(door.arrive(FREE));
            door.now += 100 * MS;
        }
        long holds = door.arrive(FREE);
        door.sent.clear();
        List<Long> capped = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            capped.add(door.arrive(CAPPED));
            door.arrive(RATED);
        }
        for (long free = holds; door.sent.size() < 5; free = door.sent.get(door.sent.size() - 1)) {
            door.answer(free);
        }
        long cappedFirst = door.sent.stream().filter(capped::contains).count();
        assertTrue(cappedFirst >= 3, cappedFirst + " of the first five");
    }
}
