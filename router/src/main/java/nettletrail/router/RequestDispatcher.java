package nettletrail.router;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import nettletrail.configuration.RoutingTable;
import nettletrail.configuration.Service;
import nettletrail.router.admission.VirtualCounters;
import nettletrail.router.upstream.UpstreamPool;

/**
 * Takes each request from its arrival through the queue of its service to its sending: looks it up,
 * has it wait for a slot, for tokens of its tenant's quota and for a backend, and refuses it soon
 * if they don't come. On one event loop.
 */
final class RequestDispatcher {
  /**
   * The part of a request's target that it may wait here before it is refused: a refusal is worth
   * more soon.
   */
  static final double MAX_WAIT_OF_TARGET = 0.22;

  /**
   * The part of its time that a request may wait for the first backend of its service after a
   * start: these are heard of within a beat, and a late answer is worth more than none.
   */
  private static final double MOST_WAIT_OF_TIME_AT_START = 0.3;

  private static final long STARTING_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final EventLoop loop;
  private final ControlView control;
  private final RouterSettings settings;
  private final UpstreamPool pool;
  private final SplittableRandom random;
  private final VirtualCounters counters = new VirtualCounters();
  private final Map<String, ServiceState> services = new HashMap<>();
  private final long startedAt = System.nanoTime();
  private final QuotaGate quota;
  private final Completion completion;
  private final AttemptSender sender;
  private final AnswerHandler answers;
  private boolean draining;

  /** Draining only: requests that come later than the one must be over by the other, ns. */
  private long drainLateFrom;

  private long drainEnd;

  RequestDispatcher(
      EventLoop loop, RouterSettings settings, ControlView control, UpstreamPool pool) {
    this.loop = loop;
    this.settings = settings;
    this.control = control;
    this.pool = pool;
    random = new SplittableRandom(settings.seed());
    quota = new QuotaGate(control, settings.seed());
    completion =
        new Completion(loop, quota, counters, random, settings.maxBufferedBytes(), this::pump);
    sender = new AttemptSender(loop, control, pool, counters, completion, this::requeue);
    answers = new AnswerHandler(sender, completion);
  }

  Exchange exchange(ClientConnection client, ClientRequest request) {
    return new Exchange(sender, answers, completion, client, request, random.nextDouble());
  }

  // ---- Arrival ----

  void start(Exchange exchange) {
    long now = System.nanoTime();
    if (!completion.holds(exchange)) {
      completion.unserved(exchange);
      return;
    }
    sender.resolve(exchange, now);
    if (exchange.resolution().refusal() != null) {
      completion.refuse(exchange, exchange.resolution().refusal());
      return;
    }
    if (isTooLateForDrain(exchange)) {
      completion.drained(exchange);
      return;
    }
    if (!quota.admits(exchange, now)) {
      completion.withoutTokens(exchange);
      return;
    }
    await(exchange, now);
  }

  /** Whether it came so late in the drain that the end of the process could cut it. */
  private boolean isTooLateForDrain(Exchange exchange) {
    return draining
        && exchange.request.arrivedAt() - drainLateFrom >= 0
        && exchange.deadline() - drainEnd >= 0;
  }

  /** Queues it; it may be sent at once. */
  private void await(Exchange exchange, long now) {
    exchange.queuedIn(service(exchange.resolution().service().name()));
    exchange.service.queue.add(exchange, now);
    pump(exchange.service);
    if (exchange.state == Exchange.State.WAITING) {
      schedule(exchange, Math.min(exchange.deadline(), waitEnd(exchange)), now);
    }
  }

  private long waitEnd(Exchange exchange) {
    double maxMs = exchange.route().targetMs() * MAX_WAIT_OF_TARGET;
    long usual = (long) (maxMs * TimeUnit.MILLISECONDS.toNanos(1));
    boolean starting = exchange.request.arrivedAt() - startedAt < STARTING_NANOS;
    if (!starting || exchange.service.backends.size() > 0) {
      return exchange.request.arrivedAt() + usual;
    }
    long all = exchange.deadline() - exchange.request.arrivedAt();
    return exchange.request.arrivedAt()
        + Math.max(usual, (long) (all * MOST_WAIT_OF_TIME_AT_START));
  }

  /**
   * The routing has moved it to another service or tenant before it was sent: it begins anew there.
   */
  private void requeue(Exchange exchange) {
    long now = System.nanoTime();
    exchange.service.queue.releaseSlot();
    quota.refund(exchange, now);
    exchange.state = Exchange.State.WAITING;
    await(exchange, now);
  }

  private ServiceState service(String name) {
    ServiceState state = services.get(name);
    if (state == null) {
      state = new ServiceState(name, settings, counters, startedAt);
      state.backends.update(control.backends(name));
      services.put(name, state);
    }
    return state;
  }

  private void schedule(Exchange exchange, long at, long now) {
    exchange.cancelTimer();
    long left = Math.max(0, at - now);
    exchange.timer = loop.schedule(() -> timeUp(exchange), left, TimeUnit.NANOSECONDS);
  }

  private void timeUp(Exchange exchange) {
    exchange.timer = null;
    if (exchange.state != Exchange.State.WAITING) {
      return;
    }
    exchange.service.queue.remove(exchange);
    if (exchange.service.backends.size() == 0) {
      completion.withoutBackends(exchange);
    } else if (exchange.quotaShort) {
      completion.withoutTokens(exchange);
    } else {
      completion.unserved(exchange);
    }
  }

  // ---- The queue ----

  /** Sends all that may go. */
  private void pump(ServiceState service) {
    if (service.queue.size() == 0) {
      return;
    }
    long now = System.nanoTime();
    while (true) {
      Exchange next = service.queue.poll(bound(service), exchange -> isEligible(exchange, now));
      if (next == null) {
        return;
      }
      next.state = Exchange.State.SENDING;
      if (next.resolution().refusal() != null) {
        completion.refuse(next, next.resolution().refusal());
      } else if (!next.isForItsQueue()) {
        requeue(next);
      } else {
        sender.send(next);
      }
    }
  }

  /**
   * Requests in flight, at most; none while there is no backend. Without a bound for a service that
   * the routing no longer has: what waits for it goes elsewhere or is refused.
   */
  private int bound(ServiceState service) {
    RoutingTable routing = control.routing();
    if (routing == null) {
      return 0;
    }
    Service configured = routing.service(service.name);
    if (configured == null) {
      return Integer.MAX_VALUE;
    }
    return service.backends.size() == 0 ? 0 : service.bound(configured, control.doorCount());
  }

  /** Whether it may go, or is to be refused, now. */
  private boolean isEligible(Exchange exchange, long now) {
    sender.resolve(exchange, now);
    return exchange.resolution().refusal() != null || quota.take(exchange, now);
  }

  // ---- What the control plane tells ----

  void routingChanged() {
    quota.routingChanged();
    new ArrayList<>(services.values()).forEach(this::pump);
  }

  void backendsChanged(String name) {
    ServiceState service = services.get(name);
    if (service != null) {
      service.backends.update(control.backends(name)).forEach(pool::retire);
      pump(service);
    }
  }

  void quotaGranted(Collection<String> tenants) {
    for (ServiceState service : new ArrayList<>(services.values())) {
      if (service.queue.size() > 0 && service.queue.containsAny(tenants)) {
        pump(service);
      }
    }
  }

  /**
   * The process ends soon.
   *
   * @param lateFrom requests that come after this are refused if they could outlast the drain, ns
   * @param end of the drain, ns
   */
  void drain(long lateFrom, long end) {
    draining = true;
    drainLateFrom = lateFrom;
    drainEnd = end;
    sender.drain();
  }

  /** To be called a few times a second. */
  void tick(long now) {
    counters.dropIdle(now);
    pool.tick(now);
  }
}
