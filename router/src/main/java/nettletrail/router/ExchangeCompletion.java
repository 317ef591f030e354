package nettletrail.router;

import io.netty.channel.EventLoop;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import nettletrail.router.admission.VirtualCounters;

/**
 * Ends exchanges: with a rejection, at their deadline, or because the client has disconnected; and
 * releases what they use (quota, buffers, slot). On the event loop.
 *
 * <p>429 and 503 are sent only if no backend can have run the request. A request that may have run
 * and has no response is answered with 502, or 504 at its deadline.
 */
final class ExchangeCompletion {
  private final EventLoop loop;
  private final QuotaEnforcer quota;
  private final VirtualCounters counters;
  private final SplittableRandom random;
  private final Consumer<ServiceState> slotReleased;
  private final Consumer<String> tokensWithdrawn;

  /**
   * @param random for the jitter of Retry-After
   * @param slotReleased called, in a later turn of the loop, with a service that has queued
   *     requests and a free slot
   * @param tokensWithdrawn called, in a later turn of the loop, with a tenant of which a request no
   *     longer waits for tokens: its other requests are to be tried again
   */
  ExchangeCompletion(
      EventLoop loop,
      QuotaEnforcer quota,
      VirtualCounters counters,
      SplittableRandom random,
      Consumer<ServiceState> slotReleased,
      Consumer<String> tokensWithdrawn) {
    this.loop = loop;
    this.quota = quota;
    this.counters = counters;
    this.random = random;
    this.slotReleased = slotReleased;
    this.tokensWithdrawn = tokensWithdrawn;
  }

  /** No backend can take it, or no other attempt is permitted. */
  void rejectUnavailable(Exchange exchange) {
    reject(exchange, Rejection.unavailable(RetryAfter.withJitterMs(random)));
  }

  /** This door shuts down before the deadline: the client may retry at another one at once. */
  void rejectDraining(Exchange exchange) {
    reject(exchange, Rejection.unavailable(0));
  }

  /** The service has no ready backend. */
  void rejectWithoutBackends(Exchange exchange) {
    reject(exchange, Rejection.unavailable(afterOutageMs(exchange)));
  }

  /** The tenant's quota is exhausted, or its grants are missing. */
  void rejectOverQuota(Exchange exchange) {
    boolean outage = quota.isStarved(exchange, System.nanoTime());
    long retryAfterMs = outage ? afterOutageMs(exchange) : RetryAfter.withJitterMs(random);
    reject(exchange, Rejection.overQuota(retryAfterMs));
  }

  private static long afterOutageMs(Exchange exchange) {
    return RetryAfter.afterOutageMs(exchange.timeLeftMs(System.nanoTime()));
  }

  /** Ends it with this rejection if no backend can have run it, else with 502. */
  void reject(Exchange exchange, Rejection rejection) {
    respond(exchange, exchange.attempts().mayHaveRun() ? Rejection.BAD_GATEWAY : rejection);
  }

  /** Ends it at its deadline, in place of its earlier timer. */
  void expireAtDeadline(Exchange exchange, long now) {
    exchange.timer().schedule(loop, exchange.deadline(), now, () -> deadlineReached(exchange));
  }

  private void deadlineReached(Exchange exchange) {
    if (!exchange.hasEnded()) {
      expire(exchange);
    }
  }

  /** Its deadline has passed. */
  void expire(Exchange exchange) {
    exchange.attempts().cancel();
    respond(
        exchange,
        exchange.attempts().mayHaveRun()
            ? Rejection.GATEWAY_TIMEOUT
            : Rejection.unavailable(RetryAfter.withJitterMs(random)));
  }

  private void respond(Exchange exchange, Rejection rejection) {
    end(exchange);
    exchange.response().releaseRelay();
    if (exchange.client().isStreaming()) {
      exchange.client().breakStream();
    } else {
      exchange.client().reject(rejection);
    }
  }

  /** Its client has disconnected. Without effect if it has ended. */
  void abandon(Exchange exchange) {
    if (exchange.hasEnded()) {
      return;
    }
    if (exchange.state() == Exchange.State.QUEUED && exchange.service() != null) {
      exchange.service().queue().remove(exchange);
    } else {
      exchange.attempts().cancel();
    }
    end(exchange);
    exchange.response().releaseRelay();
  }

  /** Releases all that it uses except the relay. Without effect if it has ended. */
  void end(Exchange exchange) {
    if (exchange.hasEnded()) {
      return;
    }
    boolean hadSlot = exchange.state() == Exchange.State.SENDING;
    exchange.end();
    exchange.timer().cancel();
    long now = System.nanoTime();
    if (!exchange.attempts().mayHaveRun()) {
      quota.refund(exchange, now);
    }
    withdrawTokens(exchange);
    updateCounter(exchange, now);
    exchange.request().release();
    if (hadSlot) {
      releaseSlot(exchange.service());
    }
  }

  private void withdrawTokens(Exchange exchange) {
    String tenant = quota.withdraw(exchange);
    if (tenant != null) {
      loop.execute(() -> tokensWithdrawn.accept(tenant));
    }
  }

  private void releaseSlot(ServiceState service) {
    service.queue().releaseSlot();
    if (service.queue().size() > 0) {
      loop.execute(() -> slotReleased.accept(service));
    }
  }

  private void updateCounter(Exchange exchange, long now) {
    if (!exchange.isCharged()) {
      return;
    }
    if (exchange.attempts().mayHaveRun()) {
      counters.chargeOutput(exchange.tenantName(), exchange.outputTokens(), now);
    } else {
      counters.refund(exchange.tenantName(), exchange.inputTokens(), now);
    }
  }
}
