package nettletrail.router;

import io.netty.channel.EventLoop;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import nettletrail.router.admission.VirtualCounters;
import nettletrail.router.upstream.UpstreamPool;

/**
 * How an exchange ends: with an answer of the router's own, at its deadline, or because its client
 * has left. What it held is given back here. On the event loop.
 *
 * <p>429 and 503 are given only if no backend can have run the request; one that may have run and
 * has no answer gets 502, or 504 at its deadline.
 */
final class Completion {
  private final EventLoop loop;
  private final QuotaGate quota;
  private final VirtualCounters counters;
  private final SplittableRandom random;
  private final long maxBytes;
  private final Consumer<ServiceState> slotFreed;
  private long heldBytes;

  /**
   * @param maxBytes of requests that are held at once
   * @param slotFreed told, in a turn of its own, of a service whose queue is not empty and that has
   *     a free slot
   */
  Completion(
      EventLoop loop,
      QuotaGate quota,
      VirtualCounters counters,
      SplittableRandom random,
      long maxBytes,
      Consumer<ServiceState> slotFreed) {
    this.loop = loop;
    this.quota = quota;
    this.counters = counters;
    this.random = random;
    this.maxBytes = maxBytes;
    this.slotFreed = slotFreed;
  }

  /** A request is held from now on; false if that is more than this door may hold. */
  boolean holds(Exchange exchange) {
    heldBytes += exchange.body().readableBytes();
    return heldBytes <= maxBytes;
  }

  /** No backend will answer it. */
  void unserved(Exchange exchange) {
    refuse(exchange, Refusal.unavailable(RetryAfter.whenFullMs(random)));
  }

  /** This door ends before the request would: another one can take it at once. */
  void drained(Exchange exchange) {
    refuse(exchange, Refusal.unavailable(0));
  }

  /** No backend of the service is known. */
  void withoutBackends(Exchange exchange) {
    refuse(exchange, Refusal.unavailable(afterOutageMs(exchange)));
  }

  /** The tenant's quota is spent, or its tokens don't come. */
  void withoutTokens(Exchange exchange) {
    boolean outage = quota.isStarved(exchange, System.nanoTime());
    long retryAfter = outage ? afterOutageMs(exchange) : RetryAfter.whenFullMs(random);
    refuse(exchange, Refusal.overQuota(retryAfter));
  }

  private static long afterOutageMs(Exchange exchange) {
    return RetryAfter.afterOutageMs(exchange.timeLeftMs(System.nanoTime()));
  }

  /**
   * Ends it with this answer if no backend can have run it, else in a way that promises nothing.
   */
  void refuse(Exchange exchange, Refusal refusal) {
    end(exchange, exchange.mayHaveRun() ? Refusal.BAD_GATEWAY : refusal);
  }

  /** Its deadline has come. */
  void expired(Exchange exchange) {
    cancelSend(exchange);
    end(
        exchange,
        exchange.mayHaveRun()
            ? Refusal.GATEWAY_TIMEOUT
            : Refusal.unavailable(RetryAfter.whenFullMs(random)));
  }

  private void end(Exchange exchange, Refusal refusal) {
    over(exchange);
    exchange.dropRelay();
    if (exchange.client.isStreaming()) {
      exchange.client.breakStream();
    } else {
      exchange.client.answer(refusal);
    }
  }

  /** Its client has left. */
  void abandon(Exchange exchange) {
    if (exchange.isOver()) {
      return;
    }
    if (exchange.state == Exchange.State.WAITING && exchange.service != null) {
      exchange.service.queue.remove(exchange);
    } else {
      cancelSend(exchange);
    }
    over(exchange);
    exchange.dropRelay();
  }

  private static void cancelSend(Exchange exchange) {
    UpstreamPool.Ticket ticket = exchange.ticket;
    if (ticket != null && !exchange.confirming) {
      ticket.cancel();
    }
    if (exchange.backend != null) {
      exchange.backend.requestAbandoned(System.nanoTime());
      exchange.sendOver(exchange.currentSent);
    }
  }

  /** It holds nothing any more, and what it held goes to those that wait. */
  void over(Exchange exchange) {
    if (exchange.isOver()) {
      return;
    }
    boolean hadSlot = exchange.state == Exchange.State.SENDING;
    exchange.state = Exchange.State.OVER;
    exchange.cancelTimer();
    long now = System.nanoTime();
    if (!exchange.mayHaveRun()) {
      quota.refund(exchange, now);
    }
    settle(exchange, now);
    heldBytes -= exchange.body().readableBytes();
    exchange.request.release();
    if (hadSlot) {
      releaseSlot(exchange.service);
    }
  }

  private void releaseSlot(ServiceState service) {
    service.queue.releaseSlot();
    if (service.queue.size() > 0) {
      loop.execute(() -> slotFreed.accept(service));
    }
  }

  private void settle(Exchange exchange, long now) {
    if (!exchange.charged) {
      return;
    }
    if (exchange.mayHaveRun()) {
      counters.chargeOutput(exchange.tenantName(), exchange.outputTokens(), now);
    } else {
      counters.refund(exchange.tenantName(), exchange.inputTokens(), now);
    }
  }
}
