package nettletrail.router;

import java.util.concurrent.TimeUnit;
import nettletrail.configuration.Route;
import nettletrail.configuration.RouteKind;
import nettletrail.router.admission.AdmissionQueue;
import nettletrail.router.balance.BackendChoice;
import nettletrail.router.balance.BackendLoad;
import nettletrail.router.upstream.Attempt;

/**
 * One request of a client from its arrival to its response: the state that the router's handlers
 * share. Its parts own the state of one concern each: {@link ExchangeAttempts}, {@link
 * ExchangeResponse}, {@link QuotaReservation}. On the event loop; instants are ns of the steady
 * clock.
 */
final class Exchange implements AdmissionQueue.Entry {
  /** The phases of an exchange. It may return from SENDING to QUEUED while nothing was sent. */
  enum State {
    /** In its service's admission queue, or not yet there. */
    QUEUED,
    /** Uses a slot of its service. */
    SENDING,
    /** Its response is written, or its client has disconnected. */
    ENDED
  }

  private static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

  private final ExchangeHandlers handlers;
  private final ClientConnection connection;
  private final ClientRequest request;
  private final RequestSize size;

  /** Selects one of a route's services by weight; constant, so that each resolution agrees. */
  private final double draw;

  private final ExchangeAttempts attempts;
  private final ExchangeAttempt attempt;
  private final ExchangeResponse response = new ExchangeResponse();
  private final ExchangeTimer timer = new ExchangeTimer();
  private final QuotaReservation quota = new QuotaReservation();
  private State state = State.QUEUED;
  private Resolution resolution;
  private long deadline;
  private ServiceState service;
  private String tenantName = "";
  private int priority;
  private boolean charged;

  /**
   * @param draw from 0 to below 1
   */
  Exchange(
      ExchangeHandlers handlers, ClientConnection connection, ClientRequest request, double draw) {
    this.handlers = handlers;
    this.connection = connection;
    this.request = request;
    this.draw = draw;
    size = RequestSize.of(request);
    attempts = new ExchangeAttempts(size);
    attempt = new ExchangeAttempt(this, handlers);
  }

  // ---- Client side ----

  ClientRequest request() {
    return request;
  }

  /** Writes the response. */
  ClientResponder client() {
    return connection.responder();
  }

  /** Whether the client is still connected; reads its socket. */
  boolean isClientConnected() {
    return connection.isClientConnected();
  }

  void clientDisconnected() {
    handlers.completion().abandon(this);
  }

  void clientWritable(boolean writable) {
    attempts.setReading(writable);
  }

  // ---- Routing ----

  double draw() {
    return draw;
  }

  /** By the latest routing table that it was resolved with; null before the first. */
  Resolution resolution() {
    return resolution;
  }

  /**
   * Sets what the active routing table says. A shorter timeout moves the deadline; a longer one
   * doesn't, so that no attempt outlasts an earlier one.
   */
  void resolved(Resolution latest) {
    boolean first = resolution == null;
    resolution = latest;
    if (latest.route() != null) {
      long ofRoute = RequestDeadline.of(latest.route(), request.headers(), request.arrivedAt());
      deadline = first || ofRoute - deadline < 0 ? ofRoute : deadline;
    }
  }

  Route route() {
    return resolution.route();
  }

  /** Whether it may run more than once (RFC 9110, section 9.2.2). */
  boolean isIdempotent() {
    return isIdempotent(route());
  }

  private static boolean isIdempotent(Route route) {
    RouteKind kind = route.kind();
    return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && route.resume();
  }

  /** When it must be answered. */
  long deadline() {
    return deadline;
  }

  long timeLeftMs(long now) {
    return (deadline - now) / NANOS_PER_MS;
  }

  // ---- Admission ----

  /** The tenant it was queued for; empty if there is none. */
  @Override
  public String tenantName() {
    return tenantName;
  }

  @Override
  public int priority() {
    return priority;
  }

  State state() {
    return state;
  }

  /** It joins this service's queue, with tenant and priority of the latest resolution. */
  void queuedIn(ServiceState next) {
    state = State.QUEUED;
    service = next;
    tenantName = resolution.tenantName();
    priority = resolution.priority();
  }

  /** It was polled from its queue and uses a slot. */
  void polled() {
    state = State.SENDING;
  }

  /** The service it is or was queued for; null before that. */
  ServiceState service() {
    return service;
  }

  /** Whether the latest resolution still has the service and tenant it was queued for. */
  boolean isInRightQueue() {
    return isInRightQueue(resolution);
  }

  private boolean isInRightQueue(Resolution latest) {
    return latest.service().name().equals(service.name()) && latest.tenantName().equals(tenantName);
  }

  /** Its reserved quota tokens. */
  QuotaReservation quota() {
    return quota;
  }

  /** Tokens that the client states, or null. */
  TokenCount tokens() {
    return size.tokens();
  }

  long inputTokens() {
    return size.inputTokens();
  }

  /** Marks its tenant's virtual counter as charged; returns whether it wasn't before. */
  boolean markCharged() {
    boolean first = !charged;
    charged = true;
    return first;
  }

  boolean isCharged() {
    return charged;
  }

  // ---- Attempts ----

  ExchangeAttempts attempts() {
    return attempts;
  }

  BackendChoice choice() {
    return size.choice(attempts.tried());
  }

  /** Whether the route permits another attempt. */
  boolean hasAttemptLeft() {
    return attempts.sent() < route().attempts();
  }

  /** Whether an attempt is in progress and has stalled. */
  boolean isStalled(long now) {
    return attempts.isCurrentSent() && attempts.isStalled(route(), now);
  }

  /** Whether this resolution permits another attempt after one that may have run. */
  boolean isRetryPermittedBy(Resolution latest) {
    return latest.rejection() == null
        && isIdempotent(latest.route())
        && isInRightQueue(latest)
        && attempts.sent() < latest.route().attempts();
  }

  /** The attempt that is passed to the connection pool. */
  Attempt attempt() {
    return attempt;
  }

  /** An attempt at this backend that may replace the current one; it is not yet in use. */
  ReplacementAttempt createReplacement(BackendLoad backend, StalledAttemptReplacer replacer) {
    return new ReplacementAttempt(this, handlers, backend, replacer);
  }

  // ---- Response ----

  /** The response while it is relayed. */
  ExchangeResponse response() {
    return response;
  }

  /** Generated tokens in the response so far, by its events. */
  long outputTokens() {
    return attempts.tokensOf(response.events());
  }

  // ---- End and timer ----

  boolean hasEnded() {
    return state == State.ENDED;
  }

  void end() {
    state = State.ENDED;
  }

  /** Its timer: the end of its time in the queue, or its deadline. */
  ExchangeTimer timer() {
    return timer;
  }
}
