package nettletrail.router;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The router's own response to a request for which it has no backend's response.
 *
 * @param status 429, 503, 408 and 421 state that the request has not run and never will
 * @param retryAfterMs for the Retry-After header, in ms; 0 for none
 */
record Rejection(HttpResponseStatus status, long retryAfterMs) {
  static final Rejection NO_ROUTE = new Rejection(HttpResponseStatus.NOT_FOUND, 0);
  static final Rejection UNKNOWN_KEY = new Rejection(HttpResponseStatus.UNAUTHORIZED, 0);
  static final Rejection BAD_GATEWAY = new Rejection(HttpResponseStatus.BAD_GATEWAY, 0);
  static final Rejection GATEWAY_TIMEOUT = new Rejection(HttpResponseStatus.GATEWAY_TIMEOUT, 0);

  /**
   * The control plane's state is missing or not confirmed lately enough; it may arrive within the
   * client's time left.
   */
  static Rejection controlPlaneMissing(ClientRequest request) {
    return unavailable(RetryAfter.afterOutageMs(request.timeLeftMs()));
  }

  /** No backend can run the request now. */
  static Rejection unavailable(long retryAfterMs) {
    return new Rejection(HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterMs);
  }

  /** The tenant's quota is exhausted. */
  static Rejection overQuota(long retryAfterMs) {
    return new Rejection(HttpResponseStatus.TOO_MANY_REQUESTS, retryAfterMs);
  }
}
