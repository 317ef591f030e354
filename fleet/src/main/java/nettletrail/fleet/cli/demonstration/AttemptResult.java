package nettletrail.fleet.cli.demonstration;

import java.util.List;

/**
 * The result of one attempt of a request, as the client sees it.
 *
 * @param attempt the id of the attempt
 * @param sentAt steady clock, nanoseconds
 * @param finalAttempt whether the client makes no further attempt of the request
 */
record AttemptResult(
    RequestKind kind, String attempt, long sentAt, ClientResponse response, boolean finalAttempt) {
  private static final int OK = 200;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Statuses that guarantee that the request has not been run and will not be. */
  private static final List<Integer> NOT_RUN_STATUSES = List.of(408, 421, 429, 503);

  private static final List<Integer> CLIENT_ERRORS = List.of(400, 401, 404);

  /** How an attempt ended, as far as the client can tell. */
  enum Outcome {
    ANSWERED,
    REJECTED,
    FAILED
  }

  Outcome outcome() {
    if (response.status() == OK && response.complete()) {
      return Outcome.ANSWERED;
    }
    boolean rejected =
        guaranteesNotRun() || response.complete() && CLIENT_ERRORS.contains(response.status());
    return rejected ? Outcome.REJECTED : Outcome.FAILED;
  }

  /** Whether the door guaranteed that the request has not been run. */
  boolean guaranteesNotRun() {
    return response.complete() && NOT_RUN_STATUSES.contains(response.status());
  }

  /** Whether the client may send the request again. */
  boolean isRetryable() {
    return guaranteesNotRun()
        || !response.connected()
        || outcome() == Outcome.FAILED && kind == RequestKind.STATUS;
  }

  /** Whether events are missing, duplicated or out of order, or a complete stream is too short. */
  boolean hasGap() {
    if (!kind.isStream() || response.status() != OK) {
      return false;
    }
    List<Integer> ids = response.eventIds();
    for (int i = 0; i < ids.size(); i++) {
      if (ids.get(i) != i + 1) {
        return true;
      }
    }
    return response.complete() && ids.size() != kind.events();
  }

  /**
   * The attempt in one line of text.
   *
   * @param startedAt the start of the demonstration: steady clock, nanoseconds
   */
  String describe(long startedAt) {
    String status = response.status() == 0 ? "no answer" : "status " + response.status();
    String end =
        response.complete() ? "" : ", broken off after " + response.eventIds().size() + " events";
    return String.format(
        "%5.1f s  %s, attempt %s: %s%s",
        (sentAt - startedAt) / NANOS_PER_SECOND, kind.title(), attempt, status, end);
  }

  /** Whether a successful response has the seal of a backend and the id of this attempt. */
  boolean isAuthentic() {
    return response.status() != OK
        || attempt.equals(response.headers().get("x-attempt-id"))
            && response.headers().containsKey("x-backend-seal");
  }
}
