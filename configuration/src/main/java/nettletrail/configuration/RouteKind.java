package nettletrail.configuration;

/** How often a request on a route may run. */
public enum RouteKind {
  /** May run more than once. */
  REPEATABLE,
  /** Runs at most once per try of the client. */
  SINGLE_SEND,
  /** Answered by a series of events; runs at most once unless the route allows to resume it. */
  STREAM
}
