package nettletrail.router;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/** What the head of a backend's response proves, and whether it may be forwarded. Pure. */
final class ResponseValidator {
  private ResponseValidator() {}

  /**
   * Whether a success was written by the backend itself, for this request.
   *
   * @param attemptId of the request, or null if it has none
   */
  static boolean isGenuine(HttpResponse head, String attemptId) {
    return head.headers().contains(RequestHeaders.SEAL)
        && (attemptId == null || attemptId.equals(head.headers().get(RequestHeaders.ATTEMPT_ID)));
  }

  /** Whether the backend states that it has not run the request and never will. */
  static boolean provesNotRun(HttpResponse head) {
    return head.status().codeClass() != HttpStatusClass.SUCCESS
        && (head.headers().contains(RequestHeaders.NOT_RUN)
            || head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST));
  }

  /**
   * Whether the response of a backend that ran the request may be forwarded. A success needs the
   * backend's seal and the request's id. A status that means "not run" would be wrong, unless the
   * backend itself has sealed it.
   */
  static boolean mayForward(HttpResponse head, String attemptId) {
    if (head.status().codeClass() == HttpStatusClass.SUCCESS) {
      return isGenuine(head, attemptId);
    }
    return !meansNotRun(head.status()) || head.headers().contains(RequestHeaders.SEAL);
  }

  private static boolean meansNotRun(HttpResponseStatus status) {
    return status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
        || status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
        || status.equals(HttpResponseStatus.REQUEST_TIMEOUT);
  }
}
