package nettletrail.router;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import nettletrail.configuration.Service;
import nettletrail.router.admission.VirtualCounters;
import nettletrail.router.balance.BackendLoad;
import nettletrail.router.upstream.AttemptFailure;
import nettletrail.router.upstream.UpstreamPool;

/**
 * Sends an exchange to a backend, and to another one where that is safe and the route, the retry
 * budget and the time left allow it. On the event loop.
 */
final class AttemptSender {
  private static final int MAX_CONNECT_FAILURES = 3;
  private static final long STALL_CHECK_MS = 100;

  private final EventLoop loop;
  private final ControlView control;
  private final UpstreamPool pool;
  private final VirtualCounters counters;
  private final Completion completion;
  private final Consumer<Exchange> requeue;

  /** Those that may be sent elsewhere if their backend falls silent. */
  private final Set<Exchange> watched = new LinkedHashSet<>();

  private boolean checkScheduled;
  private boolean draining;

  /**
   * @param requeue takes an exchange that the routing has moved to another service before it was
   *     sent
   */
  AttemptSender(
      EventLoop loop,
      ControlView control,
      UpstreamPool pool,
      VirtualCounters counters,
      Completion completion,
      Consumer<Exchange> requeue) {
    this.loop = loop;
    this.control = control;
    this.pool = pool;
    this.counters = counters;
    this.completion = completion;
    this.requeue = requeue;
  }

  /** Looks the request up in the routing in force. */
  void resolve(Exchange exchange, long now) {
    exchange.resolved(
        Resolution.of(
            control.routingIsCurrent(now) ? control.routing() : null,
            exchange.request,
            control.keysConfirmed(now),
            control.routingConfirmed(now),
            exchange.draw));
  }

  void send(Exchange exchange) {
    long now = System.nanoTime();
    int doors = control.doorCount();
    Service configured = exchange.resolution().service();
    expireAtDeadline(exchange, now);
    BackendLoad backend =
        exchange.service.backends.choose(exchange.choice(), configured.engine(), doors, now);
    exchange.service.backends.pollEjected().forEach(pool::closeIdle);
    if (backend == null) {
      completion.unserved(exchange);
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

  /**
   * Directly before the first byte: all that may have changed while it waited is looked at again.
   */
  boolean confirmSend(Exchange exchange) {
    exchange.confirming = true;
    try {
      return isStillDue(exchange) && countSend(exchange, System.nanoTime());
    } finally {
      exchange.confirming = false;
    }
  }

  /** From its first send on, its time ends at its deadline and no sooner. */
  private void expireAtDeadline(Exchange exchange, long now) {
    exchange.cancelTimer();
    long left = Math.max(0, exchange.deadline() - now);
    exchange.timer = loop.schedule(() -> deadlineReached(exchange), left, TimeUnit.NANOSECONDS);
  }

  private void deadlineReached(Exchange exchange) {
    exchange.timer = null;
    if (!exchange.isOver()) {
      completion.expired(exchange);
    }
  }

  private boolean isStillDue(Exchange exchange) {
    if (!exchange.client.look() || exchange.isOver()) {
      completion.abandon(exchange);
      return false;
    }
    long now = System.nanoTime();
    if (now - exchange.deadline() >= 0) {
      completion.expired(exchange);
      return false;
    }
    long deadlineBefore = exchange.deadline();
    resolve(exchange, now);
    if (exchange.resolution().refusal() != null) {
      completion.refuse(exchange, exchange.resolution().refusal());
      return false;
    }
    if (exchange.mayHaveRun() && !exchange.isIdempotent()) {
      completion.unserved(exchange); // the routing in force forbids what the one before allowed
      return false;
    }
    if (exchange.deadline() != deadlineBefore) {
      expireAtDeadline(exchange, now);
    }
    if (!exchange.isForItsQueue()) {
      loop.execute(() -> moved(exchange));
      return false;
    }
    if (!exchange.service.backends.isReady(exchange.backend.endpoint().id())) {
      loop.execute(() -> resend(exchange));
      return false;
    }
    return true;
  }

  private boolean countSend(Exchange exchange, long now) {
    int doors = control.doorCount();
    boolean isRepeat = exchange.sends > 0;
    if (isRepeat && !(hasAttemptLeft(exchange) && exchange.service.budget.tryAcquire(doors, now))) {
      completion.unserved(exchange);
      return false;
    }
    if (!exchange.charged) {
      exchange.charged = true;
      exchange.service.budget.recordRequest(now);
      counters.charge(exchange.tenantName(), exchange.inputTokens(), now);
    }
    exchange.sends++;
    exchange.tried.add(exchange.backend.endpoint().id());
    exchange.sent(now);
    watch(exchange);
    return true;
  }

  /** The routing has moved it while it waited for a connection. */
  private void moved(Exchange exchange) {
    if (exchange.isOver()) {
      return;
    }
    exchange.ticket = null;
    if (exchange.sends > 0) {
      completion.unserved(exchange);
    } else {
      requeue.accept(exchange);
    }
  }

  private void resend(Exchange exchange) {
    if (!exchange.isOver()) {
      exchange.ticket = null;
      send(exchange);
    }
  }

  // ---- Failures ----

  void failed(Exchange exchange, AttemptFailure failure) {
    exchange.backend.failed(System.nanoTime());
    exchange.rejected = null;
    if (!failure.provesNotRun()) {
      exchange.sendOver(true);
      tryAgainIfIdempotent(exchange);
      return;
    }
    if (exchange.currentSent) {
      takeSendBack(exchange);
    }
    exchange.sendOver(false);
    exchange.connectFailures++;
    exchange.tried.add(exchange.backend.endpoint().id());
    if (exchange.connectFailures < MAX_CONNECT_FAILURES) {
      retry(exchange);
    } else {
      completion.unserved(exchange);
    }
  }

  /** The request did not arrive at the backend. */
  private static void takeSendBack(Exchange exchange) {
    exchange.sends--;
    if (exchange.sends > 0) {
      exchange.service.budget.refund(System.nanoTime());
    }
  }

  void tryAgainIfIdempotent(Exchange exchange) {
    if (exchange.isIdempotent()) {
      tryAgain(exchange);
    } else {
      completion.unserved(exchange);
    }
  }

  /** Sends it once more if the route, the budget and the time allow. */
  void tryAgain(Exchange exchange) {
    if (mayTryAgain(exchange)) {
      retry(exchange);
    } else {
      completion.unserved(exchange);
    }
  }

  private static boolean hasAttemptLeft(Exchange exchange) {
    return exchange.sends < exchange.route().attempts();
  }

  private boolean mayTryAgain(Exchange exchange) {
    return exchange.canGoOnElsewhere()
        && hasAttemptLeft(exchange)
        && exchange.service.budget.allowsRetry(control.doorCount(), System.nanoTime())
        && exchange.service.backends.hasUntried(exchange.tried);
  }

  /** In a turn of its own: the connection that failed is still on the stack. */
  private void retry(Exchange exchange) {
    exchange.ticket = null;
    exchange.attemptNumber++;
    if (exchange.relay != null && !exchange.relay.hasBegun()) {
      exchange.dropRelay();
    }
    loop.execute(() -> resend(exchange));
  }

  // ---- Silence ----

  /**
   * The process ends soon: no answer is given up for its backend's silence from now on, since what
   * another backend refuses would then end here.
   */
  void drain() {
    draining = true;
  }

  private void watch(Exchange exchange) {
    if (draining || !exchange.isIdempotent()) {
      return;
    }
    watched.add(exchange);
    if (!checkScheduled) {
      scheduleCheck();
    }
  }

  private void scheduleCheck() {
    checkScheduled = true;
    loop.schedule(this::checkStalled, STALL_CHECK_MS, TimeUnit.MILLISECONDS);
  }

  private void checkStalled() {
    checkScheduled = false;
    long now = System.nanoTime();
    watched.removeIf(exchange -> draining || exchange.isOver());
    for (Exchange exchange : new ArrayList<>(watched)) {
      if (exchange.currentSent && exchange.isStalled(now) && mayTryAgain(exchange)) {
        stalled(exchange);
      }
    }
    if (!watched.isEmpty()) {
      scheduleCheck();
    }
  }

  private void stalled(Exchange exchange) {
    UpstreamPool.Ticket ticket = exchange.ticket;
    if (ticket != null) {
      ticket.cancel();
    }
    exchange.backend.requestAbandoned(System.nanoTime());
    exchange.rejected = null;
    exchange.sendOver(true);
    retry(exchange);
  }
}
