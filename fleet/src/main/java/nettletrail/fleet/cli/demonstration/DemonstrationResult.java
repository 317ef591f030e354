package nettletrail.fleet.cli.demonstration;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import nettletrail.fleet.cli.JsonObject;

/**
 * The result of a demonstration.
 *
 * @param requests one summary for each kind of request
 * @param failures one line for each request that failed
 * @param invariants whether each guarantee was kept
 */
public record DemonstrationResult(
    List<RequestSummary> requests, List<String> failures, List<InvariantResult> invariants) {
  private static final int MAX_FAILURES_PRINTED = 12;

  /** Whether every guarantee was kept. */
  public boolean isPassed() {
    return invariants.stream().allMatch(InvariantResult::holds);
  }

  /** Prints a table of the requests and one of the guarantees. */
  public void print(PrintStream out) {
    out.printf(
        "%-37s %6s %6s %9s %8s %7s %8s %8s%n",
        "requests", "asked", "tries", "answered", "refused", "failed", "p50 ms", "p99 ms");
    for (RequestSummary request : requests) {
      out.printf(
          "%-37s %6d %6d %9d %8d %7d %8d %8d%n",
          request.title(),
          request.requests(),
          request.attempts(),
          request.answered(),
          request.rejected(),
          request.failed(),
          request.p50Ms(),
          request.p99Ms());
    }
    out.println(
        "p50, p99: to the first event or byte of those that were answered, from their last try");
    failures.stream()
        .limit(MAX_FAILURES_PRINTED)
        .forEach(failure -> out.println("failed: " + failure));
    out.println();
    for (InvariantResult result : invariants) {
      out.printf(
          "%-7s %-50s %s%n",
          result.holds() ? "held" : "BROKEN", result.invariant(), result.evidence());
    }
  }

  /** The result for {@code --json}; the names of its fields must not change. */
  public JsonObject toJson() {
    return new JsonObject()
        .put("passed", isPassed())
        .putObjects("requests", requests.stream().map(DemonstrationResult::requestJson).toList())
        .putTexts("failures", failures)
        .putObjects("rules", invariants.stream().map(DemonstrationResult::invariantJson).toList());
  }

  private static JsonObject requestJson(RequestSummary request) {
    return new JsonObject()
        .put("title", request.title())
        .put("asked", request.requests())
        .put("tries", request.attempts())
        .put("answered", request.answered())
        .put("refused", request.rejected())
        .put("failed", request.failed())
        .put("p50_ms", request.p50Ms())
        .put("p99_ms", request.p99Ms());
  }

  private static JsonObject invariantJson(InvariantResult result) {
    return new JsonObject()
        .put("rule", result.invariant())
        .put("held", result.holds())
        .put("evidence", result.evidence());
  }

  /**
   * Summarizes a demonstration.
   *
   * @param startedAt when the demonstration started: steady clock, nanoseconds
   */
  static DemonstrationResult of(
      List<AttemptResult> attempts, List<InvariantResult> invariants, long startedAt) {
    List<RequestSummary> requests = new ArrayList<>();
    for (RequestKind kind : RequestKind.values()) {
      requests.add(RequestSummary.of(kind, attempts));
    }
    List<String> failures =
        attempts.stream()
            .filter(each -> each.finalAttempt() && each.outcome() == AttemptResult.Outcome.FAILED)
            .map(each -> each.describe(startedAt))
            .toList();
    return new DemonstrationResult(requests, failures, List.copyOf(invariants));
  }
}
