package nettletrail.extproc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.concurrent.Future;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import nettletrail.core.AttemptTransport;
import nettletrail.core.Authorizer;
import nettletrail.core.BackendAttempt;
import nettletrail.core.BackendReport;
import nettletrail.core.Dispatcher;
import nettletrail.core.Endpoint;
import nettletrail.core.InboundRequest;
import nettletrail.core.Log;
import nettletrail.core.RequestClient;
import nettletrail.core.RequestValidator;
import nettletrail.decision.Gateway.DiscoveryState;
import nettletrail.decision.Gateway.Outcome;

/**
 * Handles decision requests of other proxies, from arrival to outcome, for both protocols. Each is
 * a request of the {@link Dispatcher} like any other; an attempt is carried by sending the decision
 * to the proxy, which forwards the request itself. The decision goes to the current listener, and
 * the outcome that the proxy reports ends the attempt and the request. Everything runs on the event
 * loop.
 */
final class Processor implements AttemptTransport {
  /** Result of reporting an outcome. */
  enum OutcomeReportResult {
    /** It completed its request. */
    ACCEPTED,
    /** An outcome was reported before, or the request timed out; no effect. */
    TOO_LATE,
    /** No request with this id was forwarded. */
    NO_DECISION
  }

  /** Counters since the start, for logs and measurements. */
  static final class Counters {
    long asked;
    long forwarded;
    long refused;
    long failed;
    long malformed;
    long duplicates;
    long withdrawn;
    long budgetExceeded;
    long outcomes;
    long lateOutcomes;
    long missingOutcomes;

    Map<String, Object> all() {
      Map<String, Object> all = new java.util.LinkedHashMap<>();
      all.put("asked", asked);
      all.put("forwarded", forwarded);
      all.put("refused", refused);
      all.put("failed", failed);
      all.put("malformed", malformed);
      all.put("asked_again", duplicates);
      all.put("withdrawn", withdrawn);
      all.put("over_budget", budgetExceeded);
      all.put("outcomes", outcomes);
      all.put("outcomes_late", lateOutcomes);
      all.put("no_outcome", missingOutcomes);
      return all;
    }
  }

  /** Distinguishes requests with the same id. */
  private record Fingerprint(int requestClass, int plan, long customer, double units) {}

  /** A decision request from its arrival until its outcome is reported or given up. */
  final class OpenRequest implements RequestClient, StartedAttempt {
    private final DeduplicationDecider.TrackedRequest tracked;
    private final long askedAtNanos = System.nanoTime();
    private DecisionListener listener;
    private Dispatcher.ActiveRequest dispatched;
    private BackendAttempt attempt;
    private Future<?> timer;

    private OpenRequest(DeduplicationDecider.TrackedRequest tracked, DecisionListener listener) {
      this.tracked = tracked;
      this.listener = listener;
    }

    boolean unsafe() {
      return tracked.unsafe();
    }

    // ---- As the dispatcher's client: receives the final result, only before the request was
    // forwarded.

    @Override
    public void served(ByteBuf body, String contentType) {
      throw new IllegalStateException(
          "a response passes through the other proxy and never arrives here");
    }

    @Override
    public void rejected(long retryAfterNanos) {
      if (awaitingDecision()) {
        finishUnforwarded();
        counters.refused++;
        listener.refuse(retryAfterNanos);
      }
    }

    @Override
    public void failed(int status) {
      if (awaitingDecision()) {
        finishUnforwarded();
        counters.failed++;
        listener.fail(status, status == 504 ? "its time is up" : "no node could be found for it");
      }
    }

    @Override
    public void denied(Authorizer.Denial denial) {
      if (awaitingDecision()) {
        finishUnforwarded();
        counters.refused++;
        listener.deny(denial);
      }
    }

    private boolean awaitingDecision() {
      return tracked.state() == DeduplicationDecider.State.AWAITING_DECISION;
    }

    /** Completes a request that was never forwarded. */
    private void finishUnforwarded() {
      cancelTimer();
      openRequests.remove(tracked);
      deduplication.neverRan(tracked, System.nanoTime());
    }

    private void cancelTimer() {
      if (timer != null) {
        timer.cancel(false);
        timer = null;
      }
    }

    // ---- As an attempt in flight.

    @Override
    public boolean isUnsent() {
      return false;
    }

    /** The request timed out without an outcome: it may have run, or may still run. */
    @Override
    public Outcome cancel() {
      counters.missingOutcomes++;
      finishForwarded(true);
      return Outcome.TIMED_OUT;
    }

    private BackendAttempt finishForwarded(boolean mayHaveRun) {
      cancelTimer();
      openRequests.remove(tracked);
      BackendAttempt ended = attempt;
      attempt = null;
      if (mayHaveRun) {
        deduplication.perhapsRan(tracked, System.nanoTime());
      } else {
        deduplication.neverRan(tracked, System.nanoTime());
      }
      return ended;
    }
  }

  private static final int MAX_LOG_LINES_PER_SECOND = 5;

  private final EventLoop loop;
  private final ExtProcSettings settings;
  private final RequestValidator intake;
  private final DeduplicationDecider deduplication;
  private final Map<DeduplicationDecider.TrackedRequest, OpenRequest> openRequests =
      new HashMap<>();
  private final LongObjectHashMap<Endpoint> endpoints = new LongObjectHashMap<>();
  private final Counters counters = new Counters();
  private Dispatcher dispatcher;
  private long logSecond;
  private int linesThisSecond;

  Processor(EventLoop loop, ExtProcSettings settings, RequestValidator intake) {
    this.loop = loop;
    this.settings = settings;
    this.intake = intake;
    deduplication =
        new DeduplicationDecider(
            settings.maxOpen(), settings.maxIds(), settings.idRetentionNanos());
  }

  /** Sets the dispatcher; called once, before the first decision request. */
  void open(Dispatcher newDispatcher) {
    dispatcher = newDispatcher;
  }

  /** Logs a line about a caller, rate-limited so that a misbehaving caller can't flood the log. */
  void logLimited(String line) {
    long second = System.nanoTime() / 1_000_000_000L;
    if (second != logSecond) {
      if (linesThisSecond > MAX_LOG_LINES_PER_SECOND) {
        Log.line(
            "ext_proc: "
                + (linesThisSecond - MAX_LOG_LINES_PER_SECOND)
                + " more such lines suppressed");
      }
      logSecond = second;
      linesThisSecond = 0;
    }
    if (++linesThisSecond <= MAX_LOG_LINES_PER_SECOND) {
      Log.line("ext_proc: " + line);
    }
  }

  /**
   * Runs the task on the event loop and returns its future; for tests, callable from any thread.
   */
  Future<?> runOnLoop(Runnable task) {
    return loop.submit(task);
  }

  Counters counters() {
    return counters;
  }

  /** Returns the number of requests that await a decision. */
  int awaitingDecision() {
    int waiting = 0;
    for (OpenRequest request : openRequests.values()) {
      waiting += request.awaitingDecision() ? 1 : 0;
    }
    return waiting;
  }

  /** Returns the number of requests that await a decision or an outcome. */
  int openCount() {
    return openRequests.size();
  }

  // ---- Decision requests
  // ------------------------------------------------------------------------------

  /**
   * Handles a proxy's decision request; the listener may be called before this returns.
   *
   * @param method the request's method; null if the proxy doesn't send it
   * @param headers the request's headers, by name
   * @param attempt the proxy's attempt count, from 1; 0 if unknown
   * @return a handle for later events, or null if the request is answered and complete
   */
  OpenRequest decide(
      DecisionListener listener,
      HttpMethod method,
      String uri,
      Function<CharSequence, String> headers,
      int attempt) {
    counters.asked++;
    int requestClass = intake.requestClassOf(headers);
    HttpMethod effectiveMethod =
        method != null || requestClass < 0 ? method : intake.requiredMethod(requestClass);
    HttpMethod checked = effectiveMethod == null ? HttpMethod.GET : effectiveMethod;
    InboundRequest arrival =
        intake.validate(checked, uri, headers, Unpooled.EMPTY_BUFFER, System.nanoTime());
    if (arrival == null) {
      counters.malformed++;
      listener.malformed(intake.describeFault(checked, headers));
      return null;
    }
    boolean unsafe = intake.isNotRepeatable(arrival);
    if (unsafe
        && deduplication.find(arrival.requestId()) == null
        && !dispatcher.isUnusedId(arrival.requestId())) {
      // The front door's own listener has an open request with this id.
      counters.malformed++;
      listener.malformed(
          RequestValidator.TXN
              + " is the id of another request that is open here: give each its own");
      return null;
    }
    Fingerprint fingerprint =
        new Fingerprint(
            arrival.requestClass(), arrival.plan(), arrival.customer(), arrival.units());
    DeduplicationDecider.Result result =
        deduplication.decide(arrival.requestId(), unsafe, fingerprint, attempt, System.nanoTime());
    if (result instanceof DeduplicationDecider.Result.Accepted accepted) {
      return accept(accepted.request(), listener, arrival);
    }
    if (result instanceof DeduplicationDecider.Result.Superseding superseding) {
      counters.duplicates++;
      OpenRequest existing = openRequests.get(superseding.request());
      DecisionListener before = existing.listener;
      existing.listener = listener;
      if (before != listener) {
        before.fail(502, "asked again since, and answered there");
      }
      return existing;
    }
    reject(listener, ((DeduplicationDecider.Result.Rejected) result).reason());
    return null;
  }

  private void reject(DecisionListener listener, DeduplicationDecider.Reason reason) {
    switch (reason) {
      case IN_USE -> {
        counters.malformed++;
        listener.malformed(
            RequestValidator.TXN + " is the id of another request: give each its own");
      }
      case PERHAPS_RAN -> {
        counters.duplicates++;
        counters.failed++;
        listener.fail(502, "it was handed out before and may have run");
      }
      case NOT_SEEN -> {
        counters.duplicates++;
        counters.failed++;
        listener.fail(502, "it was tried before, and what became of that is not known here");
      }
      case NEVER_RAN -> {
        counters.duplicates++;
        counters.refused++;
        listener.refuse(0);
      }
      case FULL -> {
        counters.refused++;
        listener.refuse(0);
      }
    }
  }

  private OpenRequest accept(
      DeduplicationDecider.TrackedRequest tracked,
      DecisionListener listener,
      InboundRequest arrival) {
    OpenRequest accepted = new OpenRequest(tracked, listener);
    openRequests.put(tracked, accepted);
    long holdNanos = settings.budgetNanos() - settings.reserveNanos();
    accepted.dispatched = dispatcher.accept(arrival.withMaxHold(holdNanos), accepted, this);
    if (accepted.awaitingDecision()) {
      // The decision module normally gives up first; this covers a delayed event loop or module.
      accepted.timer =
          loop.schedule(
              () -> budgetExceeded(accepted),
              settings.budgetNanos() - settings.reserveNanos() / 2,
              TimeUnit.NANOSECONDS);
    }
    return accepted;
  }

  private void budgetExceeded(OpenRequest tracked) {
    if (tracked.awaitingDecision()) {
      counters.budgetExceeded++;
      tracked.dispatched.clientDisconnected();
      tracked.rejected(0);
    }
  }

  /**
   * The caller no longer waits, or its connection is lost. A request that awaits its decision was
   * never forwarded, and the decision module gets back what it had reserved for it. The outcome of
   * a forwarded one may still be reported by another call, until the orphan timeout.
   */
  void callerGone(OpenRequest tracked, DecisionListener listener) {
    if (tracked.listener != listener) {
      return; // superseded by another caller
    }
    if (tracked.awaitingDecision()) {
      counters.withdrawn++;
      tracked.dispatched.clientDisconnected();
      tracked.finishUnforwarded();
    } else if (tracked.attempt != null && tracked.timer == null) {
      tracked.timer =
          loop.schedule(
              () -> orphanTimedOut(tracked), settings.orphanTimeoutNanos(), TimeUnit.NANOSECONDS);
    }
  }

  private void orphanTimedOut(OpenRequest tracked) {
    if (tracked.attempt != null) {
      counters.missingOutcomes++;
      tracked.finishForwarded(true).endedWithRequest(Outcome.CANCELLED, BackendReport.NONE);
    }
  }

  // ---- Outcomes
  // ---------------------------------------------------------------------------------------

  /** Reports the outcome of a forwarded request by its handle. */
  OutcomeReportResult outcome(OpenRequest tracked, Outcome outcome, BackendReport report) {
    if (tracked.awaitingDecision()) {
      return OutcomeReportResult.NO_DECISION;
    }
    if (tracked.attempt == null) {
      counters.lateOutcomes++;
      return OutcomeReportResult.TOO_LATE;
    }
    counters.outcomes++;
    boolean mayHaveRun = outcome.mayHaveRun;
    tracked.finishForwarded(mayHaveRun).endedWithRequest(outcome, report);
    return OutcomeReportResult.ACCEPTED;
  }

  /** Reports the outcome of a forwarded request by its id. */
  OutcomeReportResult outcome(String id, Outcome outcome, BackendReport report) {
    DeduplicationDecider.TrackedRequest tracked = deduplication.find(id);
    if (tracked == null) {
      return OutcomeReportResult.NO_DECISION;
    }
    OpenRequest existing = openRequests.get(tracked);
    if (existing == null) {
      boolean markForwarded = tracked.state() != DeduplicationDecider.State.NOT_FORWARDED;
      counters.lateOutcomes += markForwarded ? 1 : 0;
      return markForwarded ? OutcomeReportResult.TOO_LATE : OutcomeReportResult.NO_DECISION;
    }
    return outcome(existing, outcome, report);
  }

  // ---- AttemptTransport
  // ----------------------------------------------------------------------------------------

  @Override
  public void endpointsUpdated(boolean whole, List<Endpoint> entries) {
    if (whole) {
      endpoints.clear();
    }
    for (Endpoint entry : entries) {
      Endpoint existing = endpoints.get(entry.id());
      if (entry.state() != DiscoveryState.READY) {
        endpoints.remove(entry.id());
      } else if (entry.address() != null) {
        endpoints.put(entry.id(), entry);
      } else if (existing == null) {
        endpoints.remove(entry.id());
      }
    }
  }

  /** Sends the decision to the proxy; from here on the request counts as sent. */
  @Override
  public StartedAttempt start(BackendAttempt attempt) {
    OpenRequest tracked = (OpenRequest) attempt.client();
    Endpoint endpoint = endpoints.get(attempt.backendId());
    if (endpoint == null
        || !tracked.awaitingDecision()
        || System.nanoTime() - tracked.askedAtNanos > settings.budgetNanos()) {
      // No decision has left this process, so the request can't have run.
      attempt.ended(Outcome.NEVER_SENT);
      return tracked;
    }
    tracked.cancelTimer();
    deduplication.markForwarded(tracked.tracked);
    tracked.attempt = attempt;
    counters.forwarded++;
    tracked.listener.forward(endpoint, attempt.remainingMs(), tracked.unsafe());
    return tracked;
  }
}
