package nettletrail.extproc;

import java.util.Locale;
import nettletrail.decision.Gateway.Outcome;

/**
 * Classifies the outcome of an attempt by the response that another proxy passes on. If the
 * response leaves it open, the request is taken to have possibly run: a proxy generates responses
 * of its own, and only their code details tell whether anything was sent.
 */
final class OutcomeClassifier {
  private OutcomeClassifier() {}

  /**
   * Returns the outcome that the response stands for.
   *
   * @param status the HTTP status
   * @param notStarted whether the backend states that it has not started the request
   * @param codeDetails the proxy's {@code response.code_details}, or null; only to be trusted if
   *     the proxy makes a single attempt
   */
  static Outcome classify(int status, boolean notStarted, String codeDetails) {
    if (status == 200) {
      return Outcome.OK;
    }
    if (notStarted && (status == 503 || status == 504)) {
      return Outcome.FULL;
    }
    if (codeDetails != null) {
      // Values of Envoy's response code details.
      String lowerCaseDetails = codeDetails.toLowerCase(Locale.ROOT);
      if (lowerCaseDetails.startsWith("no_healthy_upstream")
          || lowerCaseDetails.startsWith("cluster_not_found")
          || lowerCaseDetails.startsWith("no_cluster_found")
          || lowerCaseDetails.startsWith("route_not_found")
          || lowerCaseDetails.startsWith("maintenance_mode")) {
        return Outcome.NEVER_SENT;
      }
      if (lowerCaseDetails.startsWith("upstream_reset_before_response_started")) {
        boolean connectionNeverEstablished =
            lowerCaseDetails.contains("connection_failure")
                || lowerCaseDetails.contains("connection_timeout")
                || lowerCaseDetails.contains("overflow");
        return connectionNeverEstablished && !lowerCaseDetails.contains("connection_termination")
            ? Outcome.CONNECT_FAILED
            : Outcome.RESET;
      }
      if (lowerCaseDetails.contains("response_timeout")
          || lowerCaseDetails.contains("per_try_timeout")
          || lowerCaseDetails.contains("max_duration_timeout")) {
        return Outcome.TIMED_OUT;
      }
    }
    return switch (status) {
      case 502, 503 -> Outcome.RESET;
      case 504, 408 -> Outcome.TIMED_OUT;
      default -> Outcome.ERROR;
    };
  }

  /** Returns the outcome with this name in the HTTP API, or null if there is none. */
  static Outcome fromName(String name) {
    return switch (name) {
      case "not-sent" -> Outcome.NEVER_SENT;
      case "connect-failed" -> Outcome.CONNECT_FAILED;
      case "reset" -> Outcome.RESET;
      case "timed-out" -> Outcome.TIMED_OUT;
      case "cancelled" -> Outcome.CANCELLED;
      default -> null;
    };
  }

  /**
   * The status that must replace this one in the client's response, or 0 to pass it on. 429 and 503
   * mean that a retry is safe, so they must not be sent for an unsafe request that may have run. A
   * request that certainly has not run gets 503, if its status is neither.
   */
  static int replacementStatus(Outcome outcome, int status, boolean unsafe) {
    boolean signalsSafeRetry = status == 429 || status == 503;
    if (outcome.mayHaveRun) {
      return signalsSafeRetry && unsafe ? 502 : 0;
    }
    return signalsSafeRetry ? 0 : 503;
  }
}
