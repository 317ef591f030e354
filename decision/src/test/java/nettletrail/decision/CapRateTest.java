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

/**
 * The rate that a concurrency cap corresponds to follows the requested classes, whichever class the
 * settings list first.
 */
class CapRateTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final int CAPPED = 0;
  private static final int RATED = 1;
  private static final int FREE = 2;
  private static final int QUICK = 1;

  /**
   * One slot at one backend: when it is free, the customer with the lowest virtual time is next.
   */
  private static final class SingleSlot implements Gateway.Actions {
    private final List<Long> sent = new ArrayList<>();
    private final GatewayDecider decider;
    private long now = 1_000 * SECOND;
    private long id;

    SingleSlot() {
      RequestClass slow =
          new RequestClass(10 * SECOND, 1, 0, Idempotency.IDEMPOTENT, DedupScope.ALL, 0);
      RequestClass quick =
          new RequestClass(SECOND, 1, 0, Idempotency.IDEMPOTENT, DedupScope.ALL, 0);
      Plan capped = new Plan(0, 0, 2, 0, 0, 0, 1, 0, 1);
      Plan rated = new Plan(4, 100, 0, 0, 0, 0, 1, 0, 1);
      Plan free = new Plan(0, 0, 0, 0, 0, 0, 0, 0, 1);
      decider =
          new GatewayDecider(
              new Settings(
                  12,
                  0,
                  7,
                  2 * MS,
                  1,
                  false,
                  0.2,
                  10 * SECOND,
                  2,
                  2 * SECOND,
                  0,
                  SECOND,
                  List.of(slow, quick),
                  List.of(capped, rated, free)),
              now,
              this);
      decider.onBackends(now, true, List.of(new Backend(1, 0, 0, 0, DiscoveryState.READY, 1, 0)));
    }

    long arrive(int plan) {
      decider.onRequest(now, new Request(++id, QUICK, plan, plan + 1, 1, 1, 3 * SECOND));
      return id;
    }

    void answer(long request) {
      decider.onAttemptEnd(
          now, new AttemptReport(request, 0, 1, Outcome.OK, true, 200 * MS, -1, 0, null));
    }

    @Override
    public void send(long requestId, long backendId, long timeoutNanos) {
      sent.add(requestId);
    }

    @Override
    public void reject(long requestId, long retryAfterNanos) {
      throw new AssertionError("rejected " + requestId);
    }

    @Override
    public void fail(long requestId) {
      throw new AssertionError("failed " + requestId);
    }

    @Override
    public void startTimer(int token, long ns) {}

    @Override
    public void subscribeBackends() {}

    @Override
    public void log(String line) {}
  }

  /**
   * Two at once of 0.2 s each are ten per second, more than the rated plan's four; by the slow
   * class's 2 s they were one.
   */
  @Test
  void aConcurrencyCapIsWeightedByTheLatencyOfItsRequests() {
    SingleSlot harness = new SingleSlot();
    for (int i = 0; i < 300; i++) {
      harness.answer(harness.arrive(FREE));
      harness.now += 100 * MS;
    }
    long holds = harness.arrive(FREE);
    harness.sent.clear();
    List<Long> capped = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      capped.add(harness.arrive(CAPPED));
      harness.arrive(RATED);
    }
    for (long free = holds;
        harness.sent.size() < 5;
        free = harness.sent.get(harness.sent.size() - 1)) {
      harness.answer(free);
    }
    long cappedFirst = harness.sent.stream().filter(capped::contains).count();
    assertTrue(cappedFirst >= 3, cappedFirst + " of the first five");
  }
}
