package nettletrail.fleet.cli.demonstration;

import java.util.List;

/**
 * The outcomes of all requests of one kind.
 *
 * @param requests the number of requests, each with all its attempts
 * @param attempts the number of attempts of all requests
 * @param answered requests whose final attempt was answered
 * @param rejected requests whose final attempt was rejected
 * @param failed requests whose final attempt failed
 * @param p50Ms median time from the start of the answered attempt to the first byte of the body, in
 *     milliseconds; -1 if there is none
 * @param p99Ms the 99th percentile of the same
 */
public record RequestSummary(
    String title,
    int requests,
    int attempts,
    int answered,
    int rejected,
    int failed,
    long p50Ms,
    long p99Ms) {
  private static final long NANOS_PER_MILLISECOND = 1_000_000;
  private static final double MEDIAN = 0.5;
  private static final double PERCENTILE_99 = 0.99;
  private static final long NONE = -1;

  /** Summarizes the attempts of one kind. */
  static RequestSummary of(RequestKind kind, List<AttemptResult> all) {
    List<AttemptResult> attempts = all.stream().filter(each -> each.kind() == kind).toList();
    List<AttemptResult> completed = attempts.stream().filter(AttemptResult::finalAttempt).toList();
    List<Long> times =
        completed.stream()
            .filter(each -> each.outcome() == AttemptResult.Outcome.ANSWERED)
            .map(each -> (each.response().firstEventAt() - each.sentAt()) / NANOS_PER_MILLISECOND)
            .sorted()
            .toList();
    return new RequestSummary(
        kind.title(),
        completed.size(),
        attempts.size(),
        count(completed, AttemptResult.Outcome.ANSWERED),
        count(completed, AttemptResult.Outcome.REJECTED),
        count(completed, AttemptResult.Outcome.FAILED),
        percentile(times, MEDIAN),
        percentile(times, PERCENTILE_99));
  }

  private static int count(List<AttemptResult> attempts, AttemptResult.Outcome outcome) {
    return (int) attempts.stream().filter(each -> each.outcome() == outcome).count();
  }

  private static long percentile(List<Long> sorted, double fraction) {
    if (sorted.isEmpty()) {
      return NONE;
    }
    int rank = (int) Math.ceil(fraction * sorted.size());
    return sorted.get(Math.max(0, rank - 1));
  }
}
