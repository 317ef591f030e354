package nettletrail.router;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/** What a backend's answer proves, and whether it may be passed on. Pure. */
final class AnswerRules {
  private AnswerRules() {}

  /**
   * Whether a success is the backend's own, and to this request.
   *
   * @param attemptId of the request, or null if it has none
   */
  static boolean isGenuine(HttpResponse head, String attemptId) {
    return head.headers().contains(RequestHeaders.SEAL)
        && (attemptId == null || attemptId.equals(head.headers().get(RequestHeaders.ATTEMPT_ID)));
  }

  /** Whether the backend says that it has not run the request and never will. */
  static boolean isNotRun(HttpResponse head) {
    return head.status().codeClass() != HttpStatusClass.SUCCESS
        && (head.headers().contains(RequestHeaders.NOT_RUN)
            || head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST));
  }

  /**
   * Whether an answer of a backend that ran the request may reach the client. A success needs its
   * seal and the request's id. A status that promises that the request has not run would be a lie,
   * unless the backend itself has sealed it.
   */
  static boolean mayPass(HttpResponse head, String attemptId) {
    if (head.status().codeClass() == HttpStatusClass.SUCCESS) {
      return isGenuine(head, attemptId);
    }
    return !isPromise(head.status()) || head.headers().contains(RequestHeaders.SEAL);
  }

  private static boolean isPromise(HttpResponseStatus status) {
    return status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
        || status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
        || status.equals(HttpResponseStatus.REQUEST_TIMEOUT);
  }
}
