package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import nettletrail.configuration.Engine;
import nettletrail.configuration.RouteKind;
import nettletrail.configuration.RoutingTable;
import nettletrail.configuration.Service;
import nettletrail.router.admission.VirtualCounters;
import nettletrail.router.balance.BackendLoad;
import nettletrail.router.upstream.AttemptFailure;
import nettletrail.router.upstream.UpstreamPool;

/**
 * Takes each request from its arrival to its answer: looks it up, queues it, sends it, sends it again where that is safe, and
 * passes the answer on. On one event loop.
 *
 * <p>What a status says: 429 and 503 are given only if no backend can have run the request; a request that may have run and
 * has no answer gets 502, or 504 at its deadline.
 */
final class RequestDispatcher {
  /** The part of a request's target that it may wait here before it is refused: a refusal is worth more soon. */
  static final double MOST_WAIT_OF_TARGET = 0.22;

  private static final int MOST_CONNECT_FAILURES = 3;
  private static final long RETRY_AFTER_MS = 250;
  private static final int RETRY_AFTER_SPREAD_MS = 250;

  private final EventLoop loop;
  private final ControlView control;
  private final RouterSettings settings;
  private final UpstreamPool pool;
  private final SplittableRandom random;
  private final VirtualCounters counters = new VirtualCounters();
  private final Map<String, ServiceState> services = new HashMap<>();

  RequestDispatcher(
      EventLoop loop, RouterSettings settings, ControlView control, UpstreamPool pool) {
    this.loop = loop;
    this.settings = settings;
    this.control = control;
    this.pool = pool;
    random = new SplittableRandom(settings.seed());
  }

  Exchange exchange(ClientConnection client, ClientRequest request) {
    return new Exchange(this, client, request, random.nextDouble());
  }

  // ---- Arrival ----

  void start(Exchange exchange) {
    long now = System.nanoTime();
    resolve(exchange, now);
    if (exchange.resolution.refusal() != null) {
      refuse(exchange, exchange.resolution.refusal());
      return;
    }
    await(exchange, now);
  }

  /** Queues it; it may be sent at once. */
  private void await(Exchange exchange, long now) {
    enqueue(exchange, now);
    pump(exchange.service, now);
    if (exchange.state == Exchange.State.WAITING) {
      schedule(exchange, Math.min(exchange.deadline(), waitEnd(exchange)), now);
    }
  }

  private void enqueue(Exchange exchange, long now) {
    exchange.service = service(exchange.resolution.service().name());
    exchange.tenantName = exchange.resolution.tenantName();
    exchange.rank = exchange.resolution.priority();
    exchange.service.queue.add(exchange, now);
  }

  private static long waitEnd(Exchange exchange) {
    double most = exchange.route().targetMs() * MOST_WAIT_OF_TARGET;
    return exchange.request.arrivedAt() + (long) (most * TimeUnit.MILLISECONDS.toNanos(1));
  }

  private void resolve(Exchange exchange, long now) {
    exchange.resolution =
        Resolution.of(
            control.routing(), exchange.request, control.keysConfirmed(now), exchange.draw);
  }

  private ServiceState service(String name) {
    ServiceState state = services.get(name);
    if (state == null) {
      state = new ServiceState(name, settings, counters);
      state.backends.update(control.backends(name));
      services.put(name, state);
    }
    return state;
  }

  private void schedule(Exchange exchange, long at, long now) {
    cancelTimer(exchange);
    long left = Math.max(0, at - now);
    exchange.timer = loop.schedule(() -> timeUp(exchange), left, TimeUnit.NANOSECONDS);
  }

  private static void cancelTimer(Exchange exchange) {
    if (exchange.timer != null) {
      exchange.timer.cancel(false);
      exchange.timer = null;
    }
  }

  // ---- The queue ----

  private void pump(ServiceState service, long now) {
    if (service.queue.size() == 0) {
      return;
    }
    while (true) {
      Exchange next = service.queue.poll(bound(service), exchange -> eligible(exchange, now));
      if (next == null) {
        return;
      }
      next.state = Exchange.State.SENDING;
      if (next.resolution.refusal() != null) {
        refuse(next, next.resolution.refusal());
      } else {
        schedule(next, next.deadline(), now);
        send(next);
      }
    }
  }

  private int bound(ServiceState service) {
    RoutingTable routing = control.routing();
    Service configured = routing == null ? null : routing.service(service.name);
    return configured == null ? 0 : service.bound(configured, control.doorCount());
  }

  /** Whether it may go, or is to be refused, now. */
  private boolean eligible(Exchange exchange, long now) {
    resolve(exchange, now);
    return exchange.resolution.refusal() != null || takeQuota(exchange, now);
  }

  private boolean takeQuota(Exchange exchange, long now) {
    long cost = exchange.resolution.quotaCost(exchange.tokens);
    if (cost == 0 || exchange.quotaTaken > 0) {
      return true;
    }
    String tenant = exchange.resolution.tenantName();
    if (!control.quota().take(tenant, cost, now)) {
      exchange.quotaShort = true;
      return false;
    }
    exchange.quotaTaken = cost;
    exchange.quotaTenant = tenant;
    return true;
  }

  // ---- Sending ----

  private void send(Exchange exchange) {
    long now = System.nanoTime();
    int doors = control.doorCount();
    Service configured = exchange.resolution.service();
    BackendLoad backend =
        exchange.service.backends.choose(exchange.choice(), configured.engine(), doors, now);
    if (backend == null) {
      unserved(exchange);
      return;
    }
    exchange.backend = backend;
    exchange.engine = configured.engine();
    int number = ++exchange.attemptNumber;
    UpstreamPool.Ticket ticket =
        pool.send(backend.endpoint(), ServiceState.connectionBound(configured, doors), exchange);
    if (exchange.attemptNumber == number && !exchange.isOver()) {
      exchange.ticket = ticket;
    }
  }

  /** Directly before the first byte: all that may have changed while it waited is looked at again. */
  boolean confirmSend(Exchange exchange) {
    exchange.confirming = true;
    try {
      if (!exchange.client.look() || exchange.isOver()) {
        abandon(exchange);
        return false;
      }
      long now = System.nanoTime();
      if (now - exchange.deadline() >= 0) {
        expired(exchange);
        return false;
      }
      String before = exchange.resolution.service().name();
      String tenantBefore = exchange.resolution.tenantName();
      resolve(exchange, now);
      if (exchange.resolution.refusal() != null) {
        refuseSent(exchange, exchange.resolution.refusal());
        return false;
      }
      if (!exchange.resolution.service().name().equals(before)
          || !exchange.resolution.tenantName().equals(tenantBefore)) {
        loop.execute(() -> requeue(exchange));
        return false;
      }
      if (!exchange.service.backends.isReady(exchange.backend.endpoint().id())) {
        loop.execute(() -> resend(exchange));
        return false;
      }
      return countSend(exchange, now);
    } finally {
      exchange.confirming = false;
    }
  }

  private boolean countSend(Exchange exchange, long now) {
    int doors = control.doorCount();
    if (exchange.sends > 0) {
      if (!exchange.service.budget.take(doors)) {
        unserved(exchange);
        return false;
      }
    } else if (!exchange.firstSendCounted) {
      exchange.firstSendCounted = true;
      exchange.service.budget.firstSend(doors);
    }
    if (!exchange.charged) {
      exchange.charged = true;
      counters.charge(exchange.tenantName, exchange.inputTokens(), now);
    }
    exchange.sends++;
    exchange.tried.add(exchange.backend.endpoint().id());
    exchange.sent(now);
    return true;
  }

  private void resend(Exchange exchange) {
    if (!exchange.isOver()) {
      exchange.ticket = null;
      send(exchange);
    }
  }

  /** The routing has moved it while it waited for a connection: it begins anew, unless it was sent before. */
  private void requeue(Exchange exchange) {
    if (exchange.isOver()) {
      return;
    }
    if (exchange.sends > 0) {
      unserved(exchange);
      return;
    }
    long now = System.nanoTime();
    exchange.ticket = null;
    exchange.service.queue.released();
    giveQuotaBack(exchange, now);
    exchange.state = Exchange.State.WAITING;
    await(exchange, now);
  }

  // ---- Answers ----

  void answerBegan(Exchange exchange, HttpResponse head) {
    if (exchange.relay instanceof StreamAnswer stream && stream.hasBegun()) {
      if (isGenuine(exchange, head) && head.status().equals(HttpResponseStatus.OK)) {
        stream.resumeWithNextBackend();
        return;
      }
      exchange.rejected = new BufferedAnswer(head, exchange.client.allocator());
      return;
    }
    dropRelay(exchange);
    boolean stream =
        exchange.route().kind() == RouteKind.STREAM
            && head.status().equals(HttpResponseStatus.OK)
            && isGenuine(exchange, head)
            && !exchange.request.isHttp10();
    exchange.relay =
        stream
            ? new StreamAnswer(
                exchange.client,
                head,
                exchange.route().resume(),
                exchange.request.lastEventId(),
                exchange.client.allocator())
            : new BufferedAnswer(head, exchange.client.allocator());
  }

  /** Whether a success is the backend's own to this request. */
  private static boolean isGenuine(Exchange exchange, HttpResponse head) {
    String id = exchange.attemptId();
    return head.headers().contains(RequestHeaders.SEAL)
        && (id == null || id.equals(head.headers().get(RequestHeaders.ATTEMPT_ID)));
  }

  void answerContent(Exchange exchange, ByteBuf content) {
    if (exchange.rejected != null) {
      return;
    }
    exchange.relay.content(content);
    if (exchange.relay instanceof StreamAnswer stream && stream.hasGap()) {
      UpstreamPool.Ticket ticket = exchange.ticket;
      if (ticket != null) {
        ticket.cancel();
      }
      attemptFailed(exchange, AttemptFailure.GARBLED);
    }
  }

  void answerEnded(Exchange exchange) {
    if (exchange.rejected != null) {
      BufferedAnswer rejected = exchange.rejected;
      exchange.rejected = null;
      answerIsNoSuccess(exchange, rejected);
    } else if (exchange.relay instanceof StreamAnswer stream) {
      exchange.backend.succeeded();
      exchange.sendOver(true);
      over(exchange);
      stream.end();
      stream.drop();
    } else {
      bufferedEnded(exchange, (BufferedAnswer) exchange.relay);
    }
  }

  /** What a further backend answered in the middle of a stream can't be passed on. */
  private void answerIsNoSuccess(Exchange exchange, BufferedAnswer answer) {
    boolean notRun = isNotRun(answer.head());
    exchange.backend.succeeded();
    exchange.sendOver(!notRun);
    tryAgain(exchange);
  }

  private void bufferedEnded(Exchange exchange, BufferedAnswer answer) {
    HttpResponse head = answer.head();
    if (isNotRun(head)) {
      exchange.backend.succeeded();
      exchange.sendOver(false);
      tryAgain(exchange);
      return;
    }
    exchange.sendOver(true);
    if (answer.isTooLarge() || !mayPass(exchange, head)) {
      exchange.backend.failed(System.nanoTime());
      tryAgainIfIdempotent(exchange);
      return;
    }
    exchange.backend.succeeded();
    over(exchange);
    exchange.client.forward(head, answer.body(), isBodiless(exchange, head));
    answer.drop();
  }

  private static boolean isBodiless(Exchange exchange, HttpResponse head) {
    return exchange.isHeadRequest()
        || head.status().equals(HttpResponseStatus.NO_CONTENT)
        || head.status().equals(HttpResponseStatus.NOT_MODIFIED);
  }

  /** Whether the backend says that it has not run the request and never will. */
  private static boolean isNotRun(HttpResponse head) {
    return head.status().codeClass() != HttpStatusClass.SUCCESS
        && (head.headers().contains(RequestHeaders.NOT_RUN)
            || head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST));
  }

  /**
   * A success needs its seal and the request's id; a status that promises that the request has not run would be a lie
   * unless the backend itself sealed it.
   */
  private static boolean mayPass(Exchange exchange, HttpResponse head) {
    int status = head.status().code();
    if (head.status().codeClass() == HttpStatusClass.SUCCESS) {
      return isGenuine(exchange, head);
    }
    boolean promise = status == 429 || status == 503 || status == 408;
    return !promise || head.headers().contains(RequestHeaders.SEAL);
  }

  // ---- Failures ----

  void attemptFailed(Exchange exchange, AttemptFailure failure) {
    long now = System.nanoTime();
    exchange.backend.failed(now);
    exchange.rejected = null;
    if (failure.provesNotRun()) {
      if (exchange.currentSent) {
        exchange.sends--; // nothing arrived there
        if (exchange.sends > 0) {
          exchange.service.budget.giveBack();
        }
      }
      exchange.sendOver(false);
      exchange.connectFailures++;
      if (exchange.connectFailures < MOST_CONNECT_FAILURES) {
        exchange.tried.add(exchange.backend.endpoint().id());
        retry(exchange);
      } else {
        unserved(exchange);
      }
      return;
    }
    exchange.sendOver(true);
    tryAgainIfIdempotent(exchange);
  }

  private void tryAgainIfIdempotent(Exchange exchange) {
    if (exchange.isIdempotent()) {
      tryAgain(exchange);
    } else {
      unserved(exchange);
    }
  }

  /** Sends it once more if the route, the budget and the time allow. */
  private void tryAgain(Exchange exchange) {
    if (exchange.sends < exchange.route().attempts()
        && exchange.service.budget.has(control.doorCount())) {
      retry(exchange);
    } else {
      unserved(exchange);
    }
  }

  /** In a turn of its own: the connection that failed is still on the stack. */
  private void retry(Exchange exchange) {
    exchange.ticket = null;
    if (!(exchange.relay instanceof StreamAnswer stream && stream.hasBegun())) {
      dropRelay(exchange);
    }
    exchange.attemptNumber++;
    loop.execute(() -> resend(exchange));
  }

  /** No backend will answer it. */
  private void unserved(Exchange exchange) {
    refuseSent(exchange, Refusal.unavailable(retryAfterMs()));
  }

  private long retryAfterMs() {
    return RETRY_AFTER_MS + random.nextInt(RETRY_AFTER_SPREAD_MS);
  }

  /** Ends it with this answer if no backend can have run it, else in a way that promises nothing. */
  private void refuseSent(Exchange exchange, Refusal refusal) {
    if (exchange.client.isStreaming()) {
      over(exchange);
      exchange.client.breakStream();
      dropRelay(exchange);
      return;
    }
    refuse(exchange, exchange.mayHaveRun() ? Refusal.BAD_GATEWAY : refusal);
  }

  private void refuse(Exchange exchange, Refusal refusal) {
    over(exchange);
    dropRelay(exchange);
    exchange.client.answer(refusal);
  }

  // ---- Ends ----

  private void timeUp(Exchange exchange) {
    exchange.timer = null;
    if (exchange.isOver()) {
      return;
    }
    if (exchange.state == Exchange.State.SENDING) {
      expired(exchange);
      return;
    }
    exchange.service.queue.remove(exchange);
    refuse(
        exchange,
        exchange.quotaShort
            ? Refusal.overQuota(retryAfterMs())
            : Refusal.unavailable(retryAfterMs()));
  }

  /** Its deadline has come while it was at a backend or on its way to one. */
  private void expired(Exchange exchange) {
    cancelSend(exchange);
    if (exchange.client.isStreaming()) {
      over(exchange);
      exchange.client.breakStream();
      dropRelay(exchange);
    } else {
      refuse(
          exchange,
          exchange.mayHaveRun() ? Refusal.GATEWAY_TIMEOUT : Refusal.unavailable(retryAfterMs()));
    }
  }

  private void cancelSend(Exchange exchange) {
    UpstreamPool.Ticket ticket = exchange.ticket;
    boolean ran = exchange.currentSent;
    if (ticket != null && !exchange.confirming) {
      ticket.cancel();
    }
    if (exchange.backend != null) {
      exchange.sendOver(ran);
    }
  }

  /** Its client has left. */
  void abandon(Exchange exchange) {
    if (exchange.isOver()) {
      return;
    }
    if (exchange.state == Exchange.State.WAITING) {
      exchange.service.queue.remove(exchange);
    } else {
      cancelSend(exchange);
    }
    over(exchange);
    dropRelay(exchange);
  }

  /** It holds nothing any more, and what it held goes to those that wait. */
  private void over(Exchange exchange) {
    if (exchange.isOver()) {
      return;
    }
    boolean wasSending = exchange.state == Exchange.State.SENDING;
    exchange.state = Exchange.State.OVER;
    cancelTimer(exchange);
    long now = System.nanoTime();
    if (!exchange.mayHaveRun()) {
      giveQuotaBack(exchange, now);
    }
    settle(exchange, now);
    exchange.request.release();
    if (wasSending) {
      exchange.service.queue.released();
      ServiceState service = exchange.service;
      if (service.queue.size() > 0) {
        loop.execute(() -> pump(service, System.nanoTime()));
      }
    }
  }

  private void settle(Exchange exchange, long now) {
    if (exchange.charged) {
      Engine engine = exchange.engine;
      long events = exchange.relay == null ? 0 : exchange.relay.events();
      long output = events * (engine == null ? 1 : engine.tokensPerEvent());
      counters.settle(
          exchange.tenantName, exchange.inputTokens(), exchange.mayHaveRun(), output, now);
    }
  }

  private void giveQuotaBack(Exchange exchange, long now) {
    if (exchange.quotaTaken > 0) {
      control.quota().giveBack(exchange.quotaTenant, exchange.quotaTaken, now);
      exchange.quotaTaken = 0;
    }
  }

  private static void dropRelay(Exchange exchange) {
    if (exchange.relay != null) {
      exchange.relay.drop();
      exchange.relay = null;
    }
  }

  // ---- What the control plane tells ----

  void routingChanged() {
    pumpAll();
  }

  void backendsChanged(String name) {
    ServiceState service = services.get(name);
    if (service != null) {
      service.backends.update(control.backends(name)).forEach(pool::retire);
      pump(service, System.nanoTime());
    }
  }

  void quotaGranted(Collection<String> tenants) {
    long now = System.nanoTime();
    for (ServiceState service : new ArrayList<>(services.values())) {
      if (service.queue.size() > 0 && holdsAny(service, tenants)) {
        pump(service, now);
      }
    }
  }

  private static boolean holdsAny(ServiceState service, Collection<String> tenants) {
    for (String tenant : tenants) {
      if (service.queue.holds(tenant)) {
        return true;
      }
    }
    return false;
  }

  private void pumpAll() {
    long now = System.nanoTime();
    for (ServiceState service : new ArrayList<>(services.values())) {
      pump(service, now);
    }
  }

  /** To be called about four times a second. */
  void tick(long now) {
    counters.forgetIdle(now);
    pool.tick(now);
  }
}
