package nettletrail.router.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Virtual token counters: the service that each tenant has received, as one number (VTC; Sheng et
 * al., "Fairness in Serving Large Language Models", 2024), with a charge that is quadratic in the
 * prompt. The queued tenant with the lowest counter is served next.
 *
 * <p>Sending a request with a prompt of {@code l} tokens charges {@code INPUT_WEIGHT * l +
 * INPUT_WEIGHT * l * l / d}. At its end each generated token is charged with {@link
 * #OUTPUT_WEIGHT}, or the charge is refunded if no backend ran it. The counter of a tenant that
 * becomes active again is lifted to the minimum of the queued tenants, so that idle time earns no
 * credit. Counters of tenants that were idle for {@link #IDLE_EXPIRY_NANOS} are dropped.
 *
 * <p>Not thread-safe; {@code now} is in ns of the steady clock.
 */
public final class VirtualCounters {
  static final double INPUT_WEIGHT = 1;
  static final double OUTPUT_WEIGHT = 2;

  /** The prompt length at which the quadratic part equals the linear one: a long prompt. */
  static final double QUADRATIC_SCALE_TOKENS = 32_768;

  static final long IDLE_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final class Counter {
    double value;
    int inFlight;
    long usedAt;
  }

  private final Map<String, Counter> counters = new HashMap<>();

  /**
   * The charge for sending a request.
   *
   * @param inputTokens of its prompt, 0 or more
   */
  public static double chargeFor(long inputTokens) {
    return INPUT_WEIGHT * inputTokens
        + INPUT_WEIGHT * inputTokens * (double) inputTokens / QUADRATIC_SCALE_TOKENS;
  }

  /** The tenant's counter; 0 if it has none. */
  public double of(String tenant) {
    Counter counter = counters.get(tenant);
    return counter == null ? 0 : counter.value;
  }

  /**
   * A tenant without a queued request has one again: lifts its counter if it has none in flight.
   *
   * @param queuedTenants the tenants with queued requests; may include the tenant itself
   */
  public void lift(String tenant, Collection<String> queuedTenants, long now) {
    Counter counter = counters.computeIfAbsent(tenant, name -> new Counter());
    counter.usedAt = now;
    if (counter.inFlight > 0) {
      return;
    }
    double min = Double.POSITIVE_INFINITY;
    for (String other : queuedTenants) {
      if (!other.equals(tenant)) {
        min = Math.min(min, of(other));
      }
    }
    if (min != Double.POSITIVE_INFINITY) {
      counter.value = Math.max(counter.value, min);
    }
  }

  /** Charges a request that is sent, for the first of its attempts. */
  public void charge(String tenant, long inputTokens, long now) {
    Counter counter = counters.computeIfAbsent(tenant, name -> new Counter());
    counter.value += chargeFor(inputTokens);
    counter.inFlight++;
    counter.usedAt = now;
  }

  /**
   * A charged request has ended, and a backend may have run it.
   *
   * @param outputTokens that its response contained
   */
  public void chargeOutput(String tenant, long outputTokens, long now) {
    end(tenant, OUTPUT_WEIGHT * outputTokens, now);
  }

  /**
   * A charged request has ended, and no backend ran it.
   *
   * @param inputTokens with which it was charged
   */
  public void refund(String tenant, long inputTokens, long now) {
    end(tenant, -chargeFor(inputTokens), now);
  }

  private void end(String tenant, double charge, long now) {
    Counter counter = counters.get(tenant);
    if (counter == null) {
      return;
    }
    counter.inFlight = Math.max(0, counter.inFlight - 1);
    counter.usedAt = now;
    counter.value += charge;
  }

  /** Drops the counters of tenants that were idle for {@link #IDLE_EXPIRY_NANOS}. */
  public void dropIdle(long now) {
    Iterator<Counter> all = counters.values().iterator();
    while (all.hasNext()) {
      Counter counter = all.next();
      if (counter.inFlight == 0 && now - counter.usedAt > IDLE_EXPIRY_NANOS) {
        all.remove();
      }
    }
  }

  /** Number of counters. */
  int size() {
    return counters.size();
  }
}
