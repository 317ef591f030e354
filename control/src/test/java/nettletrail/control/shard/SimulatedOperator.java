package nettletrail.control.shard;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** An operator that sends one change after another and retries each until its outcome is known. */
final class SimulatedOperator {

  private static final long REQUEST_TIMEOUT = SimulatedCluster.millis(1000);
  private static final long THINK_TIME = SimulatedCluster.millis(150);

  private final SimulatedCluster cluster;
  private final String name;
  private final ClusterInvariants invariants;
  private long current;
  private int changes;
  private long lastAttempt;
  private boolean stopped;

  SimulatedOperator(SimulatedCluster cluster, String name) {
    this.cluster = cluster;
    this.name = name;
    this.invariants = cluster.invariants();
  }

  void start() {
    cluster.after(cluster.random().nextInt((int) THINK_TIME), this::nextChange);
  }

  void stop() {
    stopped = true;
  }

  private void nextChange() {
    if (stopped) {
      return;
    }
    changes++;
    long edition = current + 1 + cluster.random().nextInt(3);
    boolean invalid = cluster.random().nextInt(12) == 0;
    String document = (invalid ? current : edition) + " " + name + "-" + changes;
    sendChange(current, document);
  }

  private void sendChange(long ifMatch, String document) {
    lastAttempt++;
    long attempt = lastAttempt;
    cluster.after(REQUEST_TIMEOUT, () -> retryAfterTimeout(attempt, ifMatch, document));
    SimulatedCore core = anyCore();
    byte[] body = document.getBytes(StandardCharsets.UTF_8);
    cluster.call(
        core,
        "PUT",
        Long.toString(ifMatch),
        body,
        answer -> onChangeAnswer(attempt, ifMatch, document, answer));
  }

  private void retryAfterTimeout(long attempt, long ifMatch, String document) {
    if (attempt == lastAttempt && !stopped) {
      sendChange(ifMatch, document);
    }
  }

  private void onChangeAnswer(
      long attempt, long ifMatch, String document, CoreAction.AnswerOperator answer) {
    if (answer.status() == OperatorResponses.OK) {
      invariants.onAcknowledged(ifMatch, Long.parseLong(answer.edition()), document);
    } else if (answer.status() < 500) {
      invariants.onRejected(document);
    }
    if (attempt != lastAttempt) {
      return;
    }
    lastAttempt++;
    if (answer.status() == OperatorResponses.OK) {
      current = Math.max(current, Long.parseLong(answer.edition()));
      afterThinkTime(this::nextChange);
    } else if (answer.status() < 500) {
      afterThinkTime(this::readCurrent);
    } else {
      afterThinkTime(() -> sendChange(ifMatch, document));
    }
  }

  private void readCurrent() {
    lastAttempt++;
    long attempt = lastAttempt;
    cluster.after(
        REQUEST_TIMEOUT,
        () -> {
          if (attempt == lastAttempt) {
            readCurrent();
          }
        });
    cluster.call(
        anyCore(),
        "GET",
        "",
        new byte[0],
        answer -> {
          if (attempt != lastAttempt) {
            return;
          }
          lastAttempt++;
          if (answer.status() == OperatorResponses.OK) {
            current = Long.parseLong(answer.edition());
          }
          afterThinkTime(answer.status() < 500 ? this::nextChange : this::readCurrent);
        });
  }

  private void afterThinkTime(Runnable next) {
    if (!stopped) {
      cluster.after(cluster.random().nextInt((int) THINK_TIME), next);
    }
  }

  private SimulatedCore anyCore() {
    List<SimulatedCore> cores = cluster.cores();
    return cores.get(cluster.random().nextInt(cores.size()));
  }
}
