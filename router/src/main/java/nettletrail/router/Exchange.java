package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import nettletrail.configuration.Engine;
import nettletrail.configuration.Route;
import nettletrail.configuration.RouteKind;
import nettletrail.router.admission.AdmissionQueue;
import nettletrail.router.balance.BackendChoice;
import nettletrail.router.balance.BackendLoad;
import nettletrail.router.balance.PromptPrefix;
import nettletrail.router.balance.ServiceBackends;
import nettletrail.router.stream.StallRule;
import nettletrail.router.upstream.Attempt;
import nettletrail.router.upstream.AttemptFailure;
import nettletrail.router.upstream.UpstreamPool;
import nettletrail.upstream.HeadBytes;

/**
 * One try of a client from its arrival to its answer: what it waits for, where it was sent, and
 * what that proves. The decisions are {@link RequestDispatcher}'s.
 */
final class Exchange implements Attempt, AdmissionQueue.Entry {
  /** How far it is. */
  enum State {
    /** In the queue of its service. */
    WAITING,
    /** At a backend, or on its way to one. */
    SENDING,
    /** Answered, or its client has left. */
    OVER
  }

  private static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

  final ClientConnection client;
  final ClientRequest request;
  final TokenCount tokens;
  final PromptPrefix prefix;

  /** Which of a route's services it goes to; the same however often it is looked up. */
  final double draw;

  private final AttemptSender sender;
  private final AnswerHandler answers;
  private final Completion completion;
  State state = State.WAITING;
  private Resolution resolution;

  /** When it must be answered, ns; nearer only, never later, once a route is known. */
  private long deadline;

  ServiceState service;
  private String tenantName = "";
  private int rank;
  Future<?> timer;

  /** Tokens of the quota that are taken; 0 if none are. */
  long quotaTaken;

  String quotaTenant;
  boolean quotaShort;

  BackendLoad backend;
  UpstreamPool.Ticket ticket;

  /** Grows with each send that is begun, so that a late return knows that it is late. */
  int attemptNumber;

  /** The send in hand is being written or has been: it may run. */
  boolean currentSent;

  /** When the send in hand was written, or its answer last gave something. */
  private long heardAt;

  private long sentAt;
  private double workBefore;
  private boolean prefilled;

  /** An earlier send may have run. */
  boolean mayHaveRunBefore;

  /** Sends that reached a backend, or may have. */
  int sends;

  int connectFailures;
  final List<String> tried = new ArrayList<>(2);
  boolean confirming;
  boolean charged;
  AnswerRelay relay;

  /** What a further backend answers in the middle of a stream, if it can't go on with it. */
  BufferedAnswer rejected;

  /** Of the service that it was sent to, or null. */
  Engine engine;

  Exchange(
      AttemptSender sender,
      AnswerHandler answers,
      Completion completion,
      ClientConnection client,
      ClientRequest request,
      double draw) {
    this.sender = sender;
    this.answers = answers;
    this.completion = completion;
    this.client = client;
    this.request = request;
    this.draw = draw;
    tokens = request.tokenCount();
    prefix = request.promptPrefix();
  }

  // ---- What it is ----

  @Override
  public String tenantName() {
    return tenantName;
  }

  @Override
  public int priority() {
    return rank;
  }

  /** It waits for this service from now on, as the routing now says. */
  void queuedIn(ServiceState next) {
    service = next;
    tenantName = resolution.tenantName();
    rank = resolution.priority();
  }

  /** Whether the routing still sends it where it waited, for the same tenant. */
  boolean isForItsQueue() {
    return resolution.service().name().equals(service.name)
        && resolution.tenantName().equals(tenantName);
  }

  Resolution resolution() {
    return resolution;
  }

  /**
   * What the routing says of it now. A route with a shorter timeout moves the deadline nearer; one
   * with a longer timeout leaves it, so that no further send outlasts an earlier one.
   */
  void resolved(Resolution latest) {
    boolean isFirst = resolution == null;
    resolution = latest;
    if (latest.route() != null) {
      long ofRoute = RequestDeadline.of(latest.route(), request.headers(), request.arrivedAt());
      deadline = isFirst || ofRoute - deadline < 0 ? ofRoute : deadline;
    }
  }

  Route route() {
    return resolution.route();
  }

  boolean isOver() {
    return state == State.OVER;
  }

  /** Whether it may run more than once. */
  boolean isIdempotent() {
    RouteKind kind = route().kind();
    return kind == RouteKind.REPEATABLE || kind == RouteKind.STREAM && route().resume();
  }

  /**
   * Whether another backend can go on where the answer stands: at its beginning, or behind an event
   * that has an id.
   */
  boolean canGoOnElsewhere() {
    return relay == null || !relay.hasBegun() || relay.resumeAfter() >= 0;
  }

  /** Whether any backend may have run it. */
  boolean mayHaveRun() {
    return mayHaveRunBefore || currentSent;
  }

  /** When it must be answered, ns. */
  long deadline() {
    return deadline;
  }

  long timeLeftMs(long now) {
    return (deadline() - now) / NANOS_PER_MS;
  }

  long inputTokens() {
    return tokens == null ? 0 : tokens.input();
  }

  BackendChoice choice() {
    return new BackendChoice(prefix, inputTokens(), tokens == null ? 0 : tokens.sum(), tried);
  }

  /** Tokens that it adds to what a backend has to read. */
  long prefillTokens() {
    return Math.max(0, inputTokens() - prefix.tokens());
  }

  /** Tokens that its answer has shown. */
  long outputTokens() {
    long events = relay == null ? 0 : relay.events();
    return events * (engine == null ? 1 : engine.tokensPerEvent());
  }

  /** Whether its backend is silent for so long that it is better sent elsewhere. */
  boolean isStalled(long now) {
    return StallRule.isStalled(
        now - heardAt,
        prefilled,
        route().gapMs(),
        route().targetMs(),
        inputTokens(),
        backend.isUnresponsive(now));
  }

  // ---- What it holds ----

  void cancelTimer() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  void dropRelay() {
    if (relay != null) {
      relay.drop();
      relay = null;
    }
  }

  // ---- What its client does ----

  void clientDisconnected() {
    completion.abandon(this);
  }

  void clientWritable(boolean writable) {
    if (ticket != null) {
      ticket.setReading(writable);
    }
  }

  // ---- The send in hand ----

  @Override
  public boolean confirmSend() {
    return sender.confirmSend(this);
  }

  @Override
  public HeadBytes head() {
    long left = Math.max(1, timeLeftMs(System.nanoTime()));
    long resumeAfter = relay == null ? -1 : relay.resumeAfter();
    return RequestHead.write(request, resolution, backend.endpoint().id(), left, resumeAfter);
  }

  @Override
  public ByteBuf body() {
    return request.body();
  }

  @Override
  public boolean isHeadRequest() {
    return request.method().equals(HttpMethod.HEAD);
  }

  @Override
  public String attemptId() {
    return request.attemptId();
  }

  /** The send in hand is written from now on. */
  void sent(long now) {
    workBefore = ServiceBackends.workBefore(backend, prefillTokens(), engine);
    sentAt = now;
    currentSent = true;
    prefilled = false;
    heardAt = now;
    backend.sent(inputTokens(), prefillTokens(), tokens == null ? 0 : tokens.sum(), now);
  }

  /** The prompt is read, or never will be. */
  void notePrefilled() {
    if (!prefilled) {
      prefilled = true;
      backend.prefilled(inputTokens(), prefillTokens());
    }
  }

  /**
   * The send in hand is over.
   *
   * @param ran whether it may have run
   */
  void sendOver(boolean ran) {
    if (currentSent) {
      notePrefilled();
      backend.over(tokens == null ? 0 : tokens.sum());
      currentSent = false;
      mayHaveRunBefore |= ran;
    }
    ticket = null;
  }

  @Override
  public void answerBegan(HttpResponse head) {
    backend.heard(System.nanoTime());
    answers.began(this, head);
  }

  @Override
  public void answerContent(ByteBuf content) {
    heardAt = System.nanoTime();
    if (!prefilled) {
      service.backends.responseStarted(backend, workBefore, heardAt - sentAt, heardAt);
      notePrefilled();
    }
    answers.content(this, content);
  }

  @Override
  public void answerFlush() {
    backend.heard(System.nanoTime());
    if (relay != null) {
      relay.flush();
    }
  }

  @Override
  public void answerEnded() {
    answers.ended(this);
  }

  @Override
  public void failed(AttemptFailure failure) {
    sender.failed(this, failure);
  }
}
