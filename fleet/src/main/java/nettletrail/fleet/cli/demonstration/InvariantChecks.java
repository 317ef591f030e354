package nettletrail.fleet.cli.demonstration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Checks the guarantees of the system on what the clients received and what the backends ran. Has
 * no side effects.
 */
final class InvariantChecks {
  private static final long NANOS_PER_MILLISECOND = 1_000_000L;

  private final List<AttemptResult> attempts;
  private final List<BackendRunLog.Run> runs;
  private final Map<String, Integer> runsByAttempt;

  InvariantChecks(List<AttemptResult> attempts, BackendRunLog runLog) {
    this.attempts = attempts;
    this.runs = runLog.runs();
    this.runsByAttempt = runLog.countsByAttempt();
  }

  /** The checks that need no more than attempts and runs. */
  List<InvariantResult> all() {
    List<InvariantResult> results = new ArrayList<>();
    results.add(
        noAttempt(
            "no request ran twice",
            attempt -> !attempt.kind().isIdempotent() && runCount(attempt) > 1,
            runs.size() + " runs"));
    results.add(
        noAttempt(
            "what was refused has not run",
            attempt -> attempt.guaranteesNotRun() && runCount(attempt) > 0,
            count(AttemptResult::guaranteesNotRun) + " refused tries"));
    results.add(
        noAttempt(
            "no stream has a gap",
            AttemptResult::hasGap,
            count(attempt -> !attempt.response().eventIds().isEmpty()) + " streams"));
    results.add(
        noAttempt(
            "every answer is a backend's own",
            attempt -> !attempt.isAuthentic(),
            count(attempt -> attempt.outcome() == AttemptResult.Outcome.ANSWERED) + " answers"));
    results.add(everyRouteAnswered());
    return results;
  }

  /**
   * No attempt with the revoked key was run that was sent later than the allowed time.
   *
   * @param acknowledgedAt when the revocation was acknowledged: steady clock, nanoseconds
   */
  InvariantResult revokedKey(long acknowledgedAt) {
    long allowedUntil = acknowledgedAt + SettingsTemplate.REVOKE_MS * NANOS_PER_MILLISECOND;
    Predicate<AttemptResult> late =
        attempt -> attempt.kind() == RequestKind.REVOKED && attempt.sentAt() - allowedUntil > 0;
    return noAttempt(
        "the revoked key runs nothing after " + SettingsTemplate.REVOKE_MS + " ms",
        late.and(attempt -> runCount(attempt) > 0),
        count(late) + " tries after that");
  }

  /**
   * The drained backend started no attempt later than the allowed time.
   *
   * @param backend the backend's id
   * @param acknowledgedAt when the drain was acknowledged: steady clock, nanoseconds
   */
  InvariantResult drainedBackend(String backend, long acknowledgedAt) {
    long allowedUntil = acknowledgedAt + SettingsTemplate.DRAIN_MS * NANOS_PER_MILLISECOND;
    List<BackendRunLog.Run> own =
        runs.stream().filter(run -> run.backend().equals(backend)).toList();
    Set<String> late =
        own.stream()
            .filter(run -> run.startedAt() - allowedUntil > 0)
            .map(BackendRunLog.Run::attempt)
            .collect(Collectors.toSet());
    String evidence = own.size() + " runs before" + (late.isEmpty() ? "" : ", late: " + late);
    return new InvariantResult(
        "the drained backend gets nothing after " + SettingsTemplate.DRAIN_MS + " ms",
        late.isEmpty() && !own.isEmpty(),
        evidence);
  }

  private InvariantResult everyRouteAnswered() {
    List<String> unanswered = new ArrayList<>();
    for (RequestKind kind : RequestKind.values()) {
      if (RequestSummary.of(kind, attempts).answered() == 0) {
        unanswered.add(kind.title());
      }
    }
    return new InvariantResult(
        "every kind of request was answered",
        unanswered.isEmpty(),
        unanswered.isEmpty() ? RequestKind.values().length + " kinds" : "never: " + unanswered);
  }

  private InvariantResult noAttempt(
      String invariant, Predicate<AttemptResult> violates, String observed) {
    List<AttemptResult> violations = attempts.stream().filter(violates).toList();
    String evidence =
        violations.isEmpty()
            ? observed
            : violations.size() + " violations in " + observed + ", first " + violations.get(0);
    return new InvariantResult(invariant, violations.isEmpty(), evidence);
  }

  private long count(Predicate<AttemptResult> matching) {
    return attempts.stream().filter(matching).count();
  }

  private int runCount(AttemptResult attempt) {
    return runsByAttempt.getOrDefault(attempt.attempt(), 0);
  }
}
