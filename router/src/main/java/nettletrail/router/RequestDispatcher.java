package nettletrail.router;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import nettletrail.configuration.RoutingTable;
import nettletrail.configuration.Service;
import nettletrail.router.admission.VirtualCounters;
import nettletrail.router.upstream.UpstreamPool;

/**
 * Admits each request: resolves its route, queues it until its service has a slot and its tenant
 * has quota, then passes it to {@link AttemptSender}. Rejects it early if that takes too long. On
 * the event loop.
 */
final class RequestDispatcher {
  private final EventLoop loop;
  private final ControlView control;
  private final RouterSettings settings;
  private final UpstreamPool pool;
  private final SplittableRandom random;
  private final VirtualCounters counters = new VirtualCounters();
  private final Map<String, ServiceState> services = new HashMap<>();
  private final long startedAt = System.nanoTime();
  private final QueueTimeout queueTimeout = new QueueTimeout(startedAt);
  private final RouteResolver resolver;
  private final QuotaEnforcer quota;
  private final ExchangeHandlers handlers;
  private final StallMonitor stallMonitor;

  /** Null unless the process shuts down. */
  private DrainWindow drainWindow;

  RequestDispatcher(
      EventLoop loop,
      RouterSettings settings,
      ControlView control,
      UpstreamPool pool,
      BufferMemory memory) {
    this.loop = loop;
    this.settings = settings;
    this.control = control;
    this.pool = pool;
    random = new SplittableRandom(settings.seed());
    resolver = new RouteResolver(control);
    quota = new QuotaEnforcer(control, settings.seed());
    ExchangeCompletion completion =
        new ExchangeCompletion(
            loop,
            quota,
            counters,
            random,
            this::dispatchQueued,
            tenant -> quotaGranted(List.of(tenant)));
    Retrier retrier = new Retrier(loop, control, completion);
    StalledAttemptReplacer replacer =
        new StalledAttemptReplacer(control, resolver, pool, completion);
    stallMonitor = new StallMonitor(loop, replacer);
    AttemptSender sender =
        new AttemptSender(loop, control, resolver, pool, counters, completion, stallMonitor);
    sender.onMoved(this::requeue);
    retrier.onRetry(sender::resend);
    handlers =
        new ExchangeHandlers(
            sender, retrier, new ResponseHandler(retrier, completion, memory), completion);
  }

  /** Creates an exchange; draws a random number. */
  Exchange createExchange(ClientConnection client, ClientRequest request) {
    return new Exchange(handlers, client, request, random.nextDouble());
  }

  // ---- Arrival ----

  /** The rejection of a request for whose body there is no memory. */
  Rejection withoutMemory() {
    return Rejection.unavailable(RetryAfter.withJitterMs(random));
  }

  /** Starts an exchange; it may end before this returns. */
  void start(Exchange exchange) {
    long now = System.nanoTime();
    ExchangeCompletion completion = handlers.completion();
    resolver.resolve(exchange, now);
    if (exchange.resolution().rejection() != null) {
      completion.reject(exchange, exchange.resolution().rejection());
      return;
    }
    if (drainWindow != null && drainWindow.isTooLate(exchange)) {
      completion.rejectDraining(exchange);
      return;
    }
    if (!quota.admits(exchange, now)) {
      completion.rejectOverQuota(exchange);
      return;
    }
    enqueue(exchange, now);
  }

  /** Queues it; it may be sent before this returns. */
  private void enqueue(Exchange exchange, long now) {
    ServiceState service = service(exchange.resolution().service().name());
    exchange.queuedIn(service);
    service.queue().add(exchange, now);
    dispatchQueued(service);
    if (exchange.state() == Exchange.State.QUEUED) {
      long until = Math.min(exchange.deadline(), queueTimeout.queuedUntil(exchange));
      exchange.timer().schedule(loop, until, now, () -> queueTimedOut(exchange));
    }
  }

  /** A routing change has moved it to another service or tenant before it was sent. */
  private void requeue(Exchange exchange) {
    long now = System.nanoTime();
    exchange.service().queue().releaseSlot();
    quota.refund(exchange, now);
    quota.withdraw(exchange);
    enqueue(exchange, now);
  }

  private ServiceState service(String name) {
    ServiceState state = services.get(name);
    if (state == null) {
      state = new ServiceState(name, settings, counters, startedAt);
      state.backends().update(control.backends(name));
      services.put(name, state);
    }
    return state;
  }

  private void queueTimedOut(Exchange exchange) {
    if (exchange.state() != Exchange.State.QUEUED) {
      return;
    }
    exchange.service().queue().remove(exchange);
    ExchangeCompletion completion = handlers.completion();
    if (exchange.service().backends().size() == 0) {
      completion.rejectWithoutBackends(exchange);
    } else if (exchange.quota().wasDenied()) {
      completion.rejectOverQuota(exchange);
    } else {
      completion.rejectUnavailable(exchange);
    }
  }

  // ---- The queue ----

  /** Sends queued requests while the service has free slots. */
  private void dispatchQueued(ServiceState service) {
    if (service.queue().size() == 0) {
      return;
    }
    long now = System.nanoTime();
    while (true) {
      Exchange next =
          service.queue().poll(maxInFlight(service), exchange -> isEligible(exchange, now));
      if (next == null) {
        return;
      }
      next.polled();
      if (next.resolution().rejection() != null) {
        handlers.completion().reject(next, next.resolution().rejection());
      } else if (!next.isInRightQueue()) {
        requeue(next);
      } else {
        handlers.sender().send(next);
      }
    }
  }

  /**
   * Limit of requests in flight; 0 while there is no routing table or no backend. Unlimited for a
   * service that the routing table doesn't contain: its requests are moved or rejected.
   */
  private int maxInFlight(ServiceState service) {
    RoutingTable routing = control.routing();
    if (routing == null) {
      return 0;
    }
    Service configured = routing.service(service.name());
    if (configured == null) {
      return Integer.MAX_VALUE;
    }
    return service.backends().size() == 0
        ? 0
        : service.maxInFlight(configured, control.doorCount());
  }

  /** Whether it may be sent, or has to be rejected, now. Acquires its quota. */
  private boolean isEligible(Exchange exchange, long now) {
    resolver.resolve(exchange, now);
    return exchange.resolution().rejection() != null || quota.acquire(exchange, now);
  }

  // ---- Changes of the control plane's state ----

  void routingChanged() {
    quota.routingChanged();
    new ArrayList<>(services.values()).forEach(this::dispatchQueued);
  }

  void backendsChanged(String name) {
    ServiceState service = services.get(name);
    if (service != null) {
      service.backends().update(control.backends(name)).forEach(pool::retire);
      dispatchQueued(service);
    }
  }

  void quotaGranted(Collection<String> tenants) {
    for (ServiceState service : new ArrayList<>(services.values())) {
      if (service.queue().size() > 0 && service.queue().containsAny(tenants)) {
        dispatchQueued(service);
      }
    }
  }

  /** The process shuts down: requests that could outlast the window are rejected. */
  void drain(DrainWindow window) {
    drainWindow = window;
    stallMonitor.stop();
  }

  /** To be called a few times a second. */
  void tick(long now) {
    counters.dropIdle(now);
    pool.tick(now);
  }
}
