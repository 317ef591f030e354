package nettletrail.configuration;

/** How often a request on a route may run at backends. */
public enum RouteKind {
  /** Idempotent: may run more than once (RFC 9110, 9.2.2). */
  IDEMPOTENT,
  /** Not idempotent: runs at most once for each request of the client. */
  SINGLE_SEND,
  /** Answered by a stream of events; runs at most once unless the route allows resumption. */
  STREAM
}
