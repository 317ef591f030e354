package nettletrail.router;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * An answer of the router's own to a request that no backend answered.
 *
 * @param status 429, 503, 408 and 421 promise that the request has not run and never will
 * @param retryAfterMs when the client may come again; 0 if that is not told
 */
record Refusal(HttpResponseStatus status, long retryAfterMs) {
  static final Refusal NO_ROUTE = new Refusal(HttpResponseStatus.NOT_FOUND, 0);
  static final Refusal UNKNOWN_KEY = new Refusal(HttpResponseStatus.UNAUTHORIZED, 0);
  static final Refusal BAD_GATEWAY = new Refusal(HttpResponseStatus.BAD_GATEWAY, 0);
  static final Refusal GATEWAY_TIMEOUT = new Refusal(HttpResponseStatus.GATEWAY_TIMEOUT, 0);

  /**
   * What the control plane has not told yet, or not confirmed of late, may come within a part of
   * the time left.
   */
  static Refusal controlPlaneMissing(ClientRequest request) {
    return unavailable(RetryAfter.afterOutageMs(request.timeLeftMs()));
  }

  /** No backend can run it now. */
  static Refusal unavailable(long retryAfterMs) {
    return new Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterMs);
  }

  /** The tenant's quota is spent. */
  static Refusal overQuota(long retryAfterMs) {
    return new Refusal(HttpResponseStatus.TOO_MANY_REQUESTS, retryAfterMs);
  }
}
