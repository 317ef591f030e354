package nettletrail.router;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import nettletrail.configuration.Service;
import nettletrail.router.admission.VirtualCounters;
import nettletrail.router.balance.BackendLoad;
import nettletrail.router.upstream.AttemptHandle;
import nettletrail.router.upstream.UpstreamPool;

/**
 * Sends attempts: chooses a backend, and checks directly before the first byte whether the request
 * may still be sent there. On the event loop.
 */
final class AttemptSender {
  private final EventLoop loop;
  private final ControlView control;
  private final RouteResolver resolver;
  private final UpstreamPool pool;
  private final VirtualCounters counters;
  private final ExchangeCompletion completion;
  private final StallMonitor stallMonitor;
  private Consumer<Exchange> requeue;

  AttemptSender(
      EventLoop loop,
      ControlView control,
      RouteResolver resolver,
      UpstreamPool pool,
      VirtualCounters counters,
      ExchangeCompletion completion,
      StallMonitor stallMonitor) {
    this.loop = loop;
    this.control = control;
    this.resolver = resolver;
    this.pool = pool;
    this.counters = counters;
    this.completion = completion;
    this.stallMonitor = stallMonitor;
  }

  /**
   * Sets the receiver of exchanges that a routing change has moved to another queue before their
   * first attempt was sent. To be called once, before the first exchange.
   */
  void onMoved(Consumer<Exchange> receiver) {
    requeue = receiver;
  }

  /** Starts the exchange's next attempt; rejects it if there is no backend. */
  void send(Exchange exchange) {
    long now = System.nanoTime();
    int doors = control.doorCount();
    Service configured = exchange.resolution().service();
    completion.expireAtDeadline(exchange, now); // from the first attempt on the only time limit
    BackendLoad backend =
        exchange.service().backends().choose(exchange.choice(), configured.engine(), doors, now);
    exchange.service().backends().pollEjected().forEach(pool::closeIdle);
    if (backend == null) {
      completion.rejectUnavailable(exchange);
      return;
    }
    int number = exchange.attempts().begin(backend, configured.engine());
    AttemptHandle handle =
        pool.send(
            backend.endpoint(),
            ServiceState.maxConnectionsToBackend(configured, doors),
            exchange.attempt());
    if (exchange.attempts().isCurrent(number) && !exchange.hasEnded()) {
      exchange.attempts().setHandle(handle);
    }
  }

  /** Repeats all checks whose result may have changed while it waited for a connection. */
  boolean confirmSend(Exchange exchange) {
    return exchange
        .attempts()
        .confirm(() -> isStillValid(exchange) && countAttempt(exchange, System.nanoTime()));
  }

  private boolean isStillValid(Exchange exchange) {
    if (!exchange.isClientConnected() || exchange.hasEnded()) {
      completion.abandon(exchange);
      return false;
    }
    long now = System.nanoTime();
    if (now - exchange.deadline() >= 0) {
      completion.expire(exchange);
      return false;
    }
    return isStillRouted(exchange, now) && isStillPlaced(exchange);
  }

  /** Resolves it again; ends it if the active routing table doesn't permit the attempt. */
  private boolean isStillRouted(Exchange exchange, long now) {
    long deadlineBefore = exchange.deadline();
    resolver.resolve(exchange, now);
    if (exchange.resolution().rejection() != null) {
      completion.reject(exchange, exchange.resolution().rejection());
      return false;
    }
    if (exchange.attempts().mayHaveRun() && !exchange.isIdempotent()) {
      completion.rejectUnavailable(exchange); // the route was idempotent by an earlier table
      return false;
    }
    if (exchange.deadline() != deadlineBefore) {
      completion.expireAtDeadline(exchange, now);
    }
    return true;
  }

  /** Sends it elsewhere if its service, its tenant or the backend's readiness has changed. */
  private boolean isStillPlaced(Exchange exchange) {
    if (!exchange.isInRightQueue()) {
      loop.execute(() -> move(exchange));
      return false;
    }
    String backendId = exchange.attempts().backend().endpoint().id();
    if (!exchange.service().backends().isReady(backendId)) {
      loop.execute(() -> resend(exchange));
      return false;
    }
    return true;
  }

  private boolean countAttempt(Exchange exchange, long now) {
    int doors = control.doorCount();
    boolean retry = exchange.attempts().sent() > 0;
    if (retry
        && !(exchange.hasAttemptLeft()
            && exchange.service().retryBudget().tryAcquire(doors, now))) {
      completion.rejectUnavailable(exchange);
      return false;
    }
    if (exchange.markCharged()) {
      exchange.service().retryBudget().recordRequest(now);
      counters.charge(exchange.tenantName(), exchange.inputTokens(), now);
    }
    exchange.attempts().recordSent(now);
    stallMonitor.watch(exchange);
    return true;
  }

  private void move(Exchange exchange) {
    if (exchange.hasEnded()) {
      return;
    }
    exchange.attempts().clearHandle();
    if (exchange.attempts().sent() > 0) {
      completion.rejectUnavailable(exchange);
    } else {
      requeue.accept(exchange);
    }
  }

  /** Starts another attempt unless the exchange has ended. */
  void resend(Exchange exchange) {
    if (!exchange.hasEnded()) {
      exchange.attempts().clearHandle();
      send(exchange);
    }
  }
}
