package nettletrail.control.shard;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * An operator that sends one change after another, each again and again until it has a clear
 * answer.
 */
final class SimulatedOperator {

  private static final long PATIENCE = SimulatedCluster.millis(1000);
  private static final long PAUSE = SimulatedCluster.millis(150);

  private final SimulatedCluster cluster;
  private final String name;
  private final ClusterInvariants invariants;
  private long current;
  private int changes;
  private long round;
  private boolean stopped;

  SimulatedOperator(SimulatedCluster cluster, String name) {
    this.cluster = cluster;
    this.name = name;
    this.invariants = cluster.invariants();
  }

  void start() {
    cluster.after(cluster.random().nextInt((int) PAUSE), this::nextChange);
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
    round++;
    long sentRound = round;
    cluster.after(PATIENCE, () -> repeatAfterSilence(sentRound, ifMatch, document));
    SimulatedCore core = anyCore();
    byte[] body = document.getBytes(StandardCharsets.UTF_8);
    cluster.call(
        core,
        "PUT",
        Long.toString(ifMatch),
        body,
        answer -> onChangeAnswer(sentRound, ifMatch, document, answer));
  }

  private void repeatAfterSilence(long sentRound, long ifMatch, String document) {
    if (sentRound == round && !stopped) {
      sendChange(ifMatch, document);
    }
  }

  private void onChangeAnswer(
      long sentRound, long ifMatch, String document, CoreAction.AnswerOperator answer) {
    if (answer.status() == OperatorResponses.OK) {
      invariants.onAcknowledged(ifMatch, Long.parseLong(answer.edition()), document);
    } else if (answer.status() < 500) {
      invariants.onRefused(document);
    }
    if (sentRound != round) {
      return;
    }
    round++;
    if (answer.status() == OperatorResponses.OK) {
      current = Math.max(current, Long.parseLong(answer.edition()));
      pause(this::nextChange);
    } else if (answer.status() < 500) {
      pause(this::readCurrent);
    } else {
      pause(() -> sendChange(ifMatch, document));
    }
  }

  private void readCurrent() {
    round++;
    long sentRound = round;
    cluster.after(
        PATIENCE,
        () -> {
          if (sentRound == round) {
            readCurrent();
          }
        });
    cluster.call(
        anyCore(),
        "GET",
        "",
        new byte[0],
        answer -> {
          if (sentRound != round) {
            return;
          }
          round++;
          if (answer.status() == OperatorResponses.OK) {
            current = Long.parseLong(answer.edition());
          }
          pause(answer.status() < 500 ? this::nextChange : this::readCurrent);
        });
  }

  private void pause(Runnable next) {
    if (!stopped) {
      cluster.after(cluster.random().nextInt((int) PAUSE), next);
    }
  }

  private SimulatedCore anyCore() {
    List<SimulatedCore> cores = cluster.cores();
    return cores.get(cluster.random().nextInt(cores.size()));
  }
}
