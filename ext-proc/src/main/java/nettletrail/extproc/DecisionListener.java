package nettletrail.extproc;

import nettletrail.core.Authorizer;
import nettletrail.core.Endpoint;

/** Receives the decision for one request. Exactly one method is called, once, on the event loop. */
interface DecisionListener {
  /**
   * Forward the request to this endpoint.
   *
   * @param remainingMs how long this server waits for the outcome, in ms
   * @param unsafe whether the request must not run twice
   */
  void forward(Endpoint endpoint, long remainingMs, boolean unsafe);

  /**
   * The request was not forwarded and a retry is safe.
   *
   * @param retryAfterNanos delay before a retry, in ns; 0 if unknown
   */
  void refuse(long retryAfterNanos);

  /**
   * The request must not be forwarded because it may have run already or its effect is unknown.
   *
   * @param status 502 or 504
   * @param reason text for the response
   */
  void fail(int status, String reason);

  /** The request must not be forwarded because its credentials were denied. */
  void deny(Authorizer.Denial denial);

  /**
   * The request is invalid.
   *
   * @param problem what is wrong with it, for the response
   */
  void malformed(String problem);
}
