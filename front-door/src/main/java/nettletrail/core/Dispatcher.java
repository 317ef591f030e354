package nettletrail.core;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;

/**
 * Tracks every active request and its attempts. It is the only class that calls the decision
 * module: it turns socket and timer events into the module's events, and the module's actions into
 * responses, attempts and timers. Runs on one event loop.
 */
public final class Dispatcher implements Gateway.Actions, Endpoint.Listener {
  private static final long NANOS_PER_MS = 1_000_000L;

  /**
   * Time reserved for the response's way back: the client measures its deadline from when it sent
   * the request.
   */
  private static final long RETURN_TRIP_NANOS = 12 * NANOS_PER_MS;

  /**
   * Longest time that input may have been unread before it is polled for: endpoint updates before a
   * send, and a client's disconnect before its request is accepted. A quarter of the 0.1 s after
   * which no attempt may begin for a disconnected client; the client of an attempt is always polled
   * before the attempt's first byte.
   */
  private static final long MAX_UNREAD_NANOS = 25 * NANOS_PER_MS;

  /** Creates the decision module. */
  public interface GatewayFactory {
    Gateway create(Gateway.Settings settings, long now, Gateway.Actions actions);
  }

  /**
   * A request from its arrival until its final response is given and its last attempt has ended.
   */
  public final class ActiveRequest {
    private final long id;
    private final InboundRequest inbound;
    private final RequestClient client;
    private final AttemptTransport transport;
    private final long deadline;
    private final Future<?> deadlineTimer;
    private int attemptCount;
    private int openAttempts;
    private DispatchedAttempt lastAttempt;
    private boolean ended;

    /** Whether the limiter holds units for the request, and no backend can have received it yet. */
    private boolean unitsHeld;

    /** Whether an attempt ended in such a way that a backend may have executed the request. */
    private boolean mayHaveRun;

    /**
     * Whether the authorizer's decision is pending: neither the limiter nor the module has seen the
     * request.
     */
    private boolean awaitingAuthorization;

    private ActiveRequest(
        long id,
        InboundRequest inbound,
        RequestClient client,
        AttemptTransport transport,
        long now) {
      this.id = id;
      this.inbound = inbound;
      this.client = client;
      this.transport = transport;
      deadline = now + Math.max(0, inbound.remainingMs() * NANOS_PER_MS - RETURN_TRIP_NANOS);
      deadlineTimer = loop.schedule(new DeadlineTimer(this), deadline - now, TimeUnit.NANOSECONDS);
    }

    /** Whether the final response has been given, or the client no longer waits for one. */
    public boolean isEnded() {
      return ended;
    }

    /** The client has disconnected: no response is sent any more. */
    public void clientDisconnected() {
      if (!ended && awaitingAuthorization) {
        authorizer.requestEnded(id, inbound);
        markEnded(this);
      } else if (!ended) {
        markEnded(this);
        submit(new UncommonEvent("departure", this, () -> gateway.onRequestCancelled(now(), id)));
        // While null the attempt is just being started, and its transport learns through isWanted
        // to stop.
        if (lastAttempt != null && lastAttempt.started != null && lastAttempt.started.isUnsent()) {
          timeOut(lastAttempt); // no client waits for it: spare the backend the work
        }
      }
    }
  }

  private record UsedId(String requestId, long expiresAtNanos, long id) {}

  // Events that every request causes are classes, not lambdas: the C1 compiler, the only one that
  // the platform leaves
  // to a front door, creates a capturing lambda by a call into the JVM and several through method
  // handles.

  /** An event for the decision module. */
  private abstract static class Event {
    private final String description;

    /** The request that the event concerns, or null. */
    private final ActiveRequest request;

    Event(String description, ActiveRequest request) {
      this.description = description;
      this.request = request;
    }

    abstract void deliver();
  }

  /** An event that not every request causes. */
  private static final class UncommonEvent extends Event {
    private final Runnable run;

    UncommonEvent(String description, ActiveRequest request, Runnable run) {
      super(description, request);
      this.run = run;
    }

    @Override
    void deliver() {
      run.run();
    }
  }

  private final class ArrivalEvent extends Event {
    private final long now;
    private final Gateway.Request gatewayRequest;

    ArrivalEvent(ActiveRequest request, long now, Gateway.Request gatewayRequest) {
      super("arrival", request);
      this.now = now;
      this.gatewayRequest = gatewayRequest;
    }

    @Override
    void deliver() {
      gateway.onRequest(now, gatewayRequest);
    }
  }

  private final class OutcomeEvent extends Event {
    private final long now;
    private final Gateway.AttemptReport answer;

    OutcomeEvent(ActiveRequest request, long now, Gateway.AttemptReport answer) {
      super("outcome", request);
      this.now = now;
      this.answer = answer;
    }

    @Override
    void deliver() {
      gateway.onAttemptEnd(now, answer);
    }
  }

  private final class DeadlineTimer implements Runnable {
    private final ActiveRequest request;

    DeadlineTimer(ActiveRequest request) {
      this.request = request;
    }

    @Override
    public void run() {
      deadlineExceeded(request);
    }
  }

  private final class DispatchedAttempt extends BackendAttempt {
    private final ActiveRequest activeRequest;
    private final int number;
    private long sentAtNanos;
    private AttemptTransport.StartedAttempt started;
    private Future<?> timeoutTimer;

    DispatchedAttempt(ActiveRequest activeRequest, long backendId, long now) {
      super(backendId);
      this.activeRequest = activeRequest;
      number = activeRequest.attemptCount++;
      sentAtNanos = now;
    }

    @Override
    public InboundRequest request() {
      return activeRequest.inbound;
    }

    @Override
    public RequestClient client() {
      return activeRequest.client;
    }

    @Override
    public long remainingNanos() {
      return activeRequest.deadline - now();
    }

    @Override
    public long remainingMs() {
      return Math.max(1, remainingNanos() / NANOS_PER_MS);
    }

    @Override
    public boolean isWanted() {
      if (isLoopLate()) {
        discoveryPoll.run();
      }
      // Always poll the client: the loop can't tell how long it was busy before it first read its
      // clock.
      if (!activeRequest.ended && !activeRequest.client.readPending()) {
        activeRequest.clientDisconnected();
      }
      return !activeRequest.ended;
    }

    @Override
    public void sendStarted() {
      sentAtNanos = now();
    }

    @Override
    public void endedWithRequest(Gateway.Outcome outcome, BackendReport report) {
      if (!activeRequest.ended) {
        markEnded(activeRequest);
      }
      ended(outcome, report, null, null);
    }

    @Override
    public void ended(
        Gateway.Outcome outcome, BackendReport report, ByteBuf body, String contentType) {
      long now = now();
      if (timeoutTimer != null) {
        timeoutTimer.cancel(false);
      }
      if (outcome != Gateway.Outcome.NEVER_SENT && outcome != Gateway.Outcome.CONNECT_FAILED) {
        activeRequest.unitsHeld = false; // first: markEnded below may remove the request
      }
      activeRequest.mayHaveRun |= outcome.mayHaveRun;
      activeRequest.openAttempts--;
      if (activeRequest.lastAttempt == this) {
        activeRequest.lastAttempt = null;
      }
      if (outcome == Gateway.Outcome.OK && !activeRequest.ended) {
        markEnded(activeRequest);
        activeRequest.client.served(body, contentType);
      }
      double charged = outcome == Gateway.Outcome.OK ? report.unitsCharged() : 0;
      if (charged > 0) {
        limiter.unitsCharged(activeRequest.inbound, charged);
      }
      if (report.quotaUsedPercent() >= 0) {
        limiter.quotaUsed(activeRequest.inbound, report.quotaUsedPercent());
      }
      long elapsedNanos =
          clock.arrivedAt(sentAtNanos - clockOffsetNanos) + clockOffsetNanos - sentAtNanos;
      Gateway.AttemptReport answer =
          new Gateway.AttemptReport(
              activeRequest.id,
              number,
              backendId(),
              outcome,
              activeRequest.ended,
              elapsedNanos,
              report.quotaUsedPercent(),
              charged,
              report.load());
      removeIfDone(activeRequest);
      submit(new OutcomeEvent(activeRequest, now, answer));
    }
  }

  private final EventLoop loop;
  private final EventLoopClock clock;
  private final Authorizer authorizer;
  private final RequestLimiter limiter;
  private final List<AttemptTransport> transports;
  private final Gateway gateway;
  private final List<String> zones;
  private final List<String> machineTypes;

  /** The longest time in ns that any client of the deployment waits. */
  private final long maxDeadlineNanos;

  private final LongObjectHashMap<ActiveRequest> activeRequests = new LongObjectHashMap<>();

  /**
   * Client-chosen ids, each kept until its request's deadline: a later copy would be executed a
   * second time.
   */
  private final HashSet<String> usedIds = new HashSet<>();

  private final ArrayDeque<UsedId> usedIdsByExpiry = new ArrayDeque<>();
  private final ArrayDeque<Event> events = new ArrayDeque<>();

  /**
   * Offset from the monotonic clock to the module's clock, which starts at Unix time and never goes
   * back.
   */
  private final long clockOffsetNanos =
      System.currentTimeMillis() * NANOS_PER_MS - System.nanoTime();

  private boolean processingEvent;

  /** The process is about to exit: no request is accepted and no attempt is sent any more. */
  private boolean shuttingDown;

  private Runnable discoveryPoll = () -> {};
  private long lastId;

  /**
   * @param loop the event loop that everything here runs on
   * @param clock the loop's clock, so that the loop's delay is not counted as a backend's
   * @param limiter applied in addition to the module's limits
   * @param transports every transport that requests may use
   * @param settings the settings read by the same reader
   */
  public Dispatcher(
      EventLoop loop,
      EventLoopClock clock,
      RequestLimiter limiter,
      List<AttemptTransport> transports,
      GatewaySettingsReader reader,
      Gateway.Settings settings,
      GatewayFactory factory) {
    this(loop, clock, Authorizer.NONE, limiter, transports, reader, settings, factory);
  }

  /** The same with an authorizer. */
  public Dispatcher(
      EventLoop loop,
      EventLoopClock clock,
      Authorizer authorizer,
      RequestLimiter limiter,
      List<AttemptTransport> transports,
      GatewaySettingsReader reader,
      Gateway.Settings settings,
      GatewayFactory factory) {
    this.authorizer = authorizer;
    this.limiter = limiter;
    this.loop = loop;
    this.clock = clock;
    this.transports = List.copyOf(transports);
    zones = reader.list("Dcs");
    machineTypes = reader.list("Flavors");
    maxDeadlineNanos = reader.maxDeadlineNanos();
    gateway = factory.create(settings, now(), this);
    authorizer.setRevocationListener(this::revoke);
  }

  // ---- Events
  // -----------------------------------------------------------------------------------------

  /** Whether no other request with this id has arrived that could still be active anywhere. */
  public boolean isUnusedId(String requestId) {
    long now = now();
    for (UsedId first = usedIdsByExpiry.peekFirst();
        first != null && first.expiresAtNanos() < now;
        first = usedIdsByExpiry.peekFirst()) {
      usedIdsByExpiry.pollFirst();
      if (activeRequests.containsKey(first.id())) {
        usedIdsByExpiry.addLast(new UsedId(first.requestId(), now + maxDeadlineNanos, first.id()));
      } else {
        usedIds.remove(first.requestId());
      }
    }
    return !usedIds.contains(requestId);
  }

  /**
   * Accepts a request and takes ownership of its body. The client receives the final response,
   * perhaps before this returns.
   *
   * @param transport sends the request's attempts; one of those given to the constructor
   */
  public ActiveRequest accept(
      InboundRequest inbound, RequestClient client, AttemptTransport transport) {
    long now = now();
    // The id is a local counter: a client's id need not be a number, nor unique.
    ActiveRequest request = new ActiveRequest(++lastId, inbound, client, transport, now);
    activeRequests.put(request.id, request);
    usedIds.add(inbound.requestId());
    usedIdsByExpiry.addLast(
        new UsedId(
            inbound.requestId(),
            Math.min(request.deadline, now + maxDeadlineNanos) + RETURN_TRIP_NANOS,
            request.id));
    if (shuttingDown) {
      markEnded(request);
      client.rejected(0);
      return request;
    }
    if (authorizer != Authorizer.NONE) {
      request.awaitingAuthorization = true;
      Authorizer.Decision decision =
          authorizer.authorize(
              request.id, inbound, request.deadline - now, new InitialAuthorization(request));
      if (decision instanceof Authorizer.Pending) {
        return request;
      }
      request.awaitingAuthorization = false;
      if (decision instanceof Authorizer.Denial denial) {
        markEnded(request);
        client.denied(denial);
        return request;
      }
    }
    admit(request, now);
    return request;
  }

  /** Waits for the decision on a request that has not been admitted yet. */
  private final class InitialAuthorization implements Authorizer.AuthorizationCallback {
    private final ActiveRequest request;

    InitialAuthorization(ActiveRequest request) {
      this.request = request;
    }

    @Override
    public void allowed() {
      request.awaitingAuthorization = false;
      admit(request, now());
    }

    @Override
    public void denied(Authorizer.Denial denial) {
      request.awaitingAuthorization = false;
      markEnded(request);
      request.client.denied(denial);
    }
  }

  private void admit(ActiveRequest request, long now) {
    InboundRequest inbound = request.inbound;
    if (!limiter.tryAcquire(inbound)) {
      long retryAfterNanos = limiter.retryAfterNanos(inbound);
      markEnded(request);
      request.client.rejected(retryAfterNanos);
      return;
    }
    request.unitsHeld = true;
    Gateway.Request gatewayRequest =
        new Gateway.Request(
            request.id,
            inbound.requestClass(),
            inbound.plan(),
            inbound.customer(),
            inbound.units(),
            inbound.customerDoorCount(),
            request.deadline - now,
            inbound.maxHoldNanos());
    submit(new ArrivalEvent(request, now, gatewayRequest));
  }

  /**
   * Denies the affected requests that have no open attempt. An open attempt continues, and a retry
   * is authorized anew.
   */
  private void revoke(
      java.util.function.Predicate<InboundRequest> affected, Authorizer.Denial denial) {
    for (ActiveRequest each : new ArrayList<>(activeRequests.values())) {
      if (!each.ended
          && !each.awaitingAuthorization
          && each.openAttempts == 0
          && affected.test(each.inbound)) {
        endRevoked(each, denial);
        submit(
            new UncommonEvent(
                "withdrawal", each, () -> gateway.onRequestCancelled(now(), each.id)));
      }
    }
  }

  /** A request that may have been executed fails with 502: a denial would claim that it wasn't. */
  private void endRevoked(ActiveRequest request, Authorizer.Denial denial) {
    markEnded(request);
    if (request.mayHaveRun) {
      request.client.failed(502);
    } else {
      request.client.denied(denial);
    }
  }

  /** Waits for the decision on a retry. */
  private final class RetryAuthorization
      implements Authorizer.AuthorizationCallback, AttemptTransport.StartedAttempt {
    private final DispatchedAttempt attempt;

    RetryAuthorization(DispatchedAttempt attempt) {
      this.attempt = attempt;
    }

    @Override
    public void allowed() {
      attempt.started = null; // being started: no longer cancelled through this object
      attempt.started = attempt.activeRequest.transport.start(attempt);
    }

    @Override
    public void denied(Authorizer.Denial denial) {
      if (!attempt.activeRequest.ended) {
        endRevoked(attempt.activeRequest, denial);
      }
      attempt.ended(Gateway.Outcome.NEVER_SENT);
    }

    @Override
    public boolean isUnsent() {
      return true;
    }

    @Override
    public Gateway.Outcome cancel() {
      authorizer.requestEnded(attempt.activeRequest.id, attempt.activeRequest.inbound);
      return Gateway.Outcome.NEVER_SENT;
    }
  }

  /** Authorizes a retry anew, as credentials may have been revoked since the previous attempt. */
  private void authorizeRetry(DispatchedAttempt attempt) {
    RetryAuthorization authorization = new RetryAuthorization(attempt);
    attempt.started = authorization;
    Authorizer.Decision decision =
        authorizer.authorize(
            attempt.activeRequest.id,
            attempt.activeRequest.inbound,
            attempt.remainingNanos(),
            authorization);
    if (decision instanceof Authorizer.Allowed) {
      authorization.allowed();
    } else if (decision instanceof Authorizer.Denial denial) {
      authorization.denied(denial);
    }
  }

  @Override
  public void endpointsUpdated(boolean whole, List<Endpoint> entries) {
    List<Gateway.Backend> backends = new ArrayList<>(entries.size());
    for (Endpoint entry : entries) {
      backends.add(
          new Gateway.Backend(
              entry.id(),
              indexOrHash(zones, entry.zone()),
              indexOrHash(machineTypes, entry.type()),
              entry.group(),
              entry.state(),
              entry.weight(),
              entry.startedAtMs() * NANOS_PER_MS));
    }
    // The transports first, or an attempt that the module sends to a new backend would find no
    // address. Attempts
    // that end because of the update are reported after it, or the module would retry them at the
    // same backend.
    if (processingEvent) {
      // Read by a poll before a send: the transport must know the update now, the module after its
      // current event.
      events.addLast(
          new UncommonEvent("list", null, () -> gateway.onBackends(now(), whole, backends)));
      transports.forEach(transport -> transport.endpointsUpdated(whole, entries));
      return;
    }
    submit(
        new UncommonEvent(
            "list",
            null,
            () -> {
              transports.forEach(transport -> transport.endpointsUpdated(whole, entries));
              gateway.onBackends(now(), whole, backends);
            }));
  }

  /**
   * The index of a name, or a negative hash if the settings lack it: two unknown zones must not
   * count as one zone.
   */
  private static int indexOrHash(List<String> names, String name) {
    int index = names.indexOf(name);
    return index >= 0 ? index : name.hashCode() | Integer.MIN_VALUE;
  }

  /**
   * Sets the action that reads a pending endpoint update; it runs before a send when the loop is
   * late.
   */
  public void setDiscoveryPoll(Runnable poll) {
    discoveryPoll = poll;
  }

  /**
   * Whether input may have been unread for so long that it must be polled for before anything is
   * sent.
   */
  public boolean isLoopLate() {
    return clock.maxUnreadNanos() > MAX_UNREAD_NANOS;
  }

  @Override
  public void discoveryFailed() {
    submit(new UncommonEvent("list failure", null, () -> gateway.onDiscoveryFailure(now())));
  }

  /**
   * Ends a request at its deadline: cancels and reports its attempt, and fails the request unless
   * the module has answered it.
   */
  private void deadlineExceeded(ActiveRequest request) {
    if (request.awaitingAuthorization) {
      authorizer.requestEnded(request.id, request.inbound);
      markEnded(request);
      request.client.failed(504);
      return;
    }
    timeOut(request.lastAttempt);
    submit(
        new UncommonEvent(
            "time-out",
            request,
            () -> {
              if (!request.ended) {
                markEnded(request);
                if (shuttingDown && !request.mayHaveRun) {
                  request.client.rejected(0);
                } else {
                  request.client.failed(504);
                }
                gateway.onRequestCancelled(now(), request.id);
              }
            }));
  }

  /**
   * Called before the process exits, on the loop: answers each active request as if its deadline
   * had passed, and rejects every later one.
   */
  public void expireAll() {
    shuttingDown = true;
    for (ActiveRequest each : new ArrayList<>(activeRequests.values())) {
      if (!each.ended) {
        deadlineExceeded(each);
      }
    }
  }

  private void timeOut(DispatchedAttempt attempt) {
    if (attempt != null) {
      attempt.ended(attempt.started.cancel());
    }
  }

  /** Number of requests that have no final response yet or still have an open attempt. */
  public int activeRequestCount() {
    return activeRequests.size();
  }

  /**
   * Delivers one event at a time to the module: events that its actions cause wait until it has
   * returned. An exception fails the request that the event concerns, never the process.
   */
  private void submit(Event event) {
    if (processingEvent) {
      events.addLast(event);
      return;
    }
    processingEvent = true;
    try {
      handle(event);
      for (Event next = events.pollFirst(); next != null; next = events.pollFirst()) {
        handle(next);
      }
    } finally {
      processingEvent = false;
    }
  }

  private void handle(Event event) {
    try {
      event.deliver();
    } catch (RuntimeException | Error e) {
      // Errors too: Netty throws one when its buffers are exhausted, and later events must still be
      // processed.
      Log.line("exception while handling " + event.description, e);
      ActiveRequest request = event.request;
      if (request != null && !request.ended) {
        markEnded(request);
        request.client.failed(502);
      }
    }
  }

  private long now() {
    return clock.now() + clockOffsetNanos;
  }

  /** Marks a request as answered; from here on nothing is sent to its client. */
  private void markEnded(ActiveRequest request) {
    request.ended = true;
    removeIfDone(request);
  }

  private void removeIfDone(ActiveRequest request) {
    if (request.ended && request.openAttempts == 0 && activeRequests.remove(request.id) != null) {
      // Not earlier: the deadline must still end an attempt at a silent backend after its client
      // disconnected.
      request.deadlineTimer.cancel(false);
      request.inbound.body().release();
      if (request.unitsHeld) {
        limiter.release(request.inbound);
      }
    }
  }

  // ---- Actions of the decision module
  // -----------------------------------------------------------------

  @Override
  public void send(long requestId, long backendId, long timeoutNanos) {
    ActiveRequest request = activeRequests.get(requestId);
    long now = now();
    if (request == null || request.ended || shuttingDown) {
      // The client disconnected, an exception ended the request, or the process exits: no one would
      // receive the
      // response.
      boolean over = request == null || request.ended;
      Gateway.AttemptReport answer =
          new Gateway.AttemptReport(
              requestId, 0, backendId, Gateway.Outcome.NEVER_SENT, over, 0, -1, 0, null);
      submit(new OutcomeEvent(null, now, answer));
      return;
    }
    DispatchedAttempt attempt = new DispatchedAttempt(request, backendId, now);
    request.openAttempts++;
    request.lastAttempt = attempt;
    // The request's timer ends the attempt at the deadline; a shorter timeout needs a timer of its
    // own.
    if (timeoutNanos > 0 && now + timeoutNanos < request.deadline) {
      attempt.timeoutTimer =
          loop.schedule(() -> timeOut(attempt), timeoutNanos, TimeUnit.NANOSECONDS);
    }
    if (authorizer != Authorizer.NONE && attempt.number > 0) {
      authorizeRetry(attempt);
      return;
    }
    attempt.started = request.transport.start(attempt);
  }

  @Override
  public void reject(long requestId, long retryAfterNanos) {
    ActiveRequest request = activeRequests.get(requestId);
    if (request != null && !request.ended) {
      markEnded(request);
      request.client.rejected(retryAfterNanos);
    }
  }

  @Override
  public void fail(long requestId) {
    ActiveRequest request = activeRequests.get(requestId);
    if (request != null && !request.ended) {
      markEnded(request);
      request.client.failed(502);
    }
  }

  @Override
  public void startTimer(int token, long delayNanos) {
    loop.schedule(
        () -> submit(new UncommonEvent("timer", null, () -> gateway.onTimer(now(), token))),
        delayNanos,
        TimeUnit.NANOSECONDS);
  }

  /** Nothing to do: the discovery watch always runs. */
  @Override
  public void subscribeBackends() {}

  @Override
  public void log(String line) {
    Log.line(line);
  }
}
