package nettletrail.fleet.cli.demonstration;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import nettletrail.fleet.cli.JsonObject;

/**
 * What came of a demonstration.
 *
 * @param routes one entry for each kind of request
 * @param failures what became of requests that failed, one line each
 * @param rules whether each rule held
 */
public record DemonstrationResult(
    List<RouteSummary> routes, List<String> failures, List<RuleResult> rules) {
  private static final int MAX_FAILURES_PRINTED = 12;

  /** Whether every rule held. */
  public boolean isPassed() {
    return rules.stream().allMatch(RuleResult::held);
  }

  /** Writes two tables. */
  public void print(PrintStream out) {
    out.printf(
        "%-37s %6s %6s %9s %8s %7s %8s %8s%n",
        "requests", "asked", "tries", "answered", "refused", "failed", "p50 ms", "p99 ms");
    for (RouteSummary route : routes) {
      out.printf(
          "%-37s %6d %6d %9d %8d %7d %8d %8d%n",
          route.title(),
          route.asked(),
          route.tries(),
          route.answered(),
          route.refused(),
          route.failed(),
          route.p50Ms(),
          route.p99Ms());
    }
    out.println(
        "p50, p99: to the first event or byte of those that were answered, from their last try");
    failures.stream()
        .limit(MAX_FAILURES_PRINTED)
        .forEach(failure -> out.println("failed: " + failure));
    out.println();
    for (RuleResult rule : rules) {
      out.printf("%-7s %-50s %s%n", rule.held() ? "held" : "BROKEN", rule.rule(), rule.evidence());
    }
  }

  /** The same for {@code --json}. */
  public JsonObject toJson() {
    return new JsonObject()
        .put("passed", isPassed())
        .putObjects("requests", routes.stream().map(DemonstrationResult::routeJson).toList())
        .putTexts("failures", failures)
        .putObjects("rules", rules.stream().map(DemonstrationResult::ruleJson).toList());
  }

  private static JsonObject routeJson(RouteSummary route) {
    return new JsonObject()
        .put("title", route.title())
        .put("asked", route.asked())
        .put("tries", route.tries())
        .put("answered", route.answered())
        .put("refused", route.refused())
        .put("failed", route.failed())
        .put("p50_ms", route.p50Ms())
        .put("p99_ms", route.p99Ms());
  }

  private static JsonObject ruleJson(RuleResult rule) {
    return new JsonObject()
        .put("rule", rule.rule())
        .put("held", rule.held())
        .put("evidence", rule.evidence());
  }

  /**
   * Sums up.
   *
   * @param startedAt when the demonstration began, steady clock, nanoseconds
   */
  static DemonstrationResult of(
      List<RequestOutcome> outcomes, List<RuleResult> rules, long startedAt) {
    List<RouteSummary> routes = new ArrayList<>();
    for (RequestKind kind : RequestKind.values()) {
      routes.add(RouteSummary.of(kind, outcomes));
    }
    List<String> failures =
        outcomes.stream()
            .filter(each -> each.lastTry() && each.result() == RequestOutcome.Result.FAILED)
            .map(each -> each.describe(startedAt))
            .toList();
    return new DemonstrationResult(routes, failures, List.copyOf(rules));
  }
}
