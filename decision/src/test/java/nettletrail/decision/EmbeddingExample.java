package nettletrail.decision;

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

final class EmbeddingExample {
  static final long SECOND = 1_000_000_000L;

  static List<String> run() {
    List<String> done = new ArrayList<>();
    Gateway.Actions actions =
        new Gateway.Actions() {
          @Override
          public void send(long requestId, long backendId, long timeoutNanos) {
            done.add("send " + requestId + " to " + backendId);
          }

          @Override
          public void reject(long requestId, long retryAfterNanos) {
            done.add("refuse " + requestId);
          }

          @Override
          public void fail(long requestId) {
            done.add("fail " + requestId);
          }

          @Override
          public void startTimer(
              int token, long delayNanos) {} // set a timer that calls onTimer(now, token)

          @Override
          public void subscribeBackends() {}

          @Override
          public void log(String line) {
            System.err.println(line);
          }
        };
    RequestClass lookup = new RequestClass(SECOND, 1, 0, Idempotency.IDEMPOTENT, DedupScope.ALL, 0);
    Plan small = new Plan(5, 10, 0, 0, 0, 0, 0.5, 0, 1); // 5 units a second, 10 at once
    Settings settings =
        new Settings(
            2,
            0,
            42,
            2_000_000,
            3,
            false,
            0.25,
            15 * SECOND,
            3,
            3 * SECOND,
            0,
            SECOND,
            List.of(lookup),
            List.of(small));
    long now = 0;
    Gateway gateway = new GatewayDecider(settings, now, actions);
    gateway.onBackends(now, true, List.of(new Backend(7, 0, 0, 0, DiscoveryState.READY, 1, 0)));
    gateway.onRequest(now, new Request(1, 0, 0, 1001, 1, 2, 4 * SECOND));
    now += SECOND / 10;
    gateway.onAttemptEnd(
        now, new AttemptReport(1, 0, 7, Outcome.OK, true, SECOND / 10, 40, 0, null));
    return done;
  }
}
