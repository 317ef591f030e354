package nettletrail.fleet.cli.demonstration;

import java.util.List;

/**
 * What came of all requests of one kind.
 *
 * @param asked requests, each with all its tries
 * @param tries how often they were sent in all
 * @param p50Ms half of the answers began within so many milliseconds of the try that was answered;
 *     -1 if there were none
 * @param p99Ms the same for 99 of 100
 */
public record RouteSummary(
    String title,
    int asked,
    int tries,
    int answered,
    int refused,
    int failed,
    long p50Ms,
    long p99Ms) {
  private static final long NANOS_A_MILLISECOND = 1_000_000;
  private static final double MEDIAN = 0.5;
  private static final double HIGH = 0.99;
  private static final long NONE = -1;

  /** Sums up the tries of one kind. */
  static RouteSummary of(RequestKind kind, List<RequestOutcome> all) {
    List<RequestOutcome> tries = all.stream().filter(each -> each.kind() == kind).toList();
    List<RequestOutcome> last = tries.stream().filter(RequestOutcome::lastTry).toList();
    List<Long> times =
        last.stream()
            .filter(each -> each.result() == RequestOutcome.Result.ANSWERED)
            .map(each -> (each.response().firstEventAt() - each.sentAt()) / NANOS_A_MILLISECOND)
            .sorted()
            .toList();
    return new RouteSummary(
        kind.title(),
        last.size(),
        tries.size(),
        count(last, RequestOutcome.Result.ANSWERED),
        count(last, RequestOutcome.Result.REFUSED),
        count(last, RequestOutcome.Result.FAILED),
        percentile(times, MEDIAN),
        percentile(times, HIGH));
  }

  private static int count(List<RequestOutcome> outcomes, RequestOutcome.Result result) {
    return (int) outcomes.stream().filter(each -> each.result() == result).count();
  }

  private static long percentile(List<Long> sorted, double share) {
    if (sorted.isEmpty()) {
      return NONE;
    }
    int rank = (int) Math.ceil(share * sorted.size());
    return sorted.get(Math.max(0, rank - 1));
  }
}
