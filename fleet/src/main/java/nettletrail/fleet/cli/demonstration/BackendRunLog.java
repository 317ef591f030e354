package nettletrail.fleet.cli.demonstration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Records which backend ran which attempt, and when. Thread-safe; written by all backends. */
final class BackendRunLog {
  /**
   * A backend started to run an attempt.
   *
   * @param backend the backend's id
   * @param attempt the id of the client's attempt
   * @param startedAt steady clock, nanoseconds
   */
  record Run(String backend, String attempt, RequestKind kind, long startedAt) {}

  private final List<Run> runs = new ArrayList<>();

  synchronized void record(Run run) {
    runs.add(run);
  }

  /** All runs so far, in the order of their start. */
  synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  /** The number of runs of each attempt, by the attempt's id. */
  Map<String, Integer> countsByAttempt() {
    Map<String, Integer> counts = new HashMap<>();
    for (Run run : runs()) {
      counts.merge(run.attempt(), 1, Integer::sum);
    }
    return counts;
  }
}
