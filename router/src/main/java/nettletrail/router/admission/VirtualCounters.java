package nettletrail.router.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The service that each tenant has had, as one number: the virtual counter of VTC (Sheng et al.,
 * "Fairness in Serving Large Language Models") with a charge that is quadratic in the prompt. The
 * waiting tenant with the lowest counter goes next.
 *
 * <p>Sending a request with a prompt of {@code l} tokens charges {@code INPUT_WEIGHT * l +
 * INPUT_WEIGHT * l * l / d}; what the answer shows is settled: {@link #OUTPUT_WEIGHT} for each
 * token that was generated, the charge back if the request did not run. A tenant that returns is
 * lifted to the least counter among those that wait, so that nobody saves up turns while away.
 * Counters of tenants that were idle for {@link #FORGET_NANOS} are forgotten.
 */
public final class VirtualCounters {
  static final double INPUT_WEIGHT = 1;
  static final double OUTPUT_WEIGHT = 2;

  /**
   * The prompt whose quadratic part is as much as its linear one: a long prompt of the sites that
   * are known.
   */
  static final double QUADRATIC_SCALE_TOKENS = 32_768;

  static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final class Counter {
    double value;
    int open;
    long touchedAt;
  }

  private final Map<String, Counter> counters = new HashMap<>();

  /**
   * What sending a request charges.
   *
   * @param inputTokens of its prompt, 0 or more
   */
  public static double chargeFor(long inputTokens) {
    return INPUT_WEIGHT * inputTokens
        + INPUT_WEIGHT * inputTokens * (double) inputTokens / QUADRATIC_SCALE_TOKENS;
  }

  /** The tenant's counter; 0 for one that is not known. */
  public double of(String tenant) {
    Counter counter = counters.get(tenant);
    return counter == null ? 0 : counter.value;
  }

  /**
   * A tenant that had nothing waiting or running has a request again.
   *
   * @param waiting the tenants that wait, itself excepted or not
   */
  public void lift(String tenant, Collection<String> waiting, long now) {
    Counter counter = counters.computeIfAbsent(tenant, name -> new Counter());
    counter.touchedAt = now;
    if (counter.open > 0) {
      return;
    }
    double min = Double.POSITIVE_INFINITY;
    for (String other : waiting) {
      if (!other.equals(tenant)) {
        min = Math.min(min, of(other));
      }
    }
    if (min != Double.POSITIVE_INFINITY) {
      counter.value = Math.max(counter.value, min);
    }
  }

  /** A request is sent. */
  public void charge(String tenant, long inputTokens, long now) {
    Counter counter = counters.computeIfAbsent(tenant, name -> new Counter());
    counter.value += chargeFor(inputTokens);
    counter.open++;
    counter.touchedAt = now;
  }

  /**
   * A request that was charged is over.
   *
   * @param ran whether a backend may have run it
   * @param outputTokens that the answer showed
   */
  public void settle(String tenant, long inputTokens, boolean ran, long outputTokens, long now) {
    Counter counter = counters.get(tenant);
    if (counter == null) {
      return;
    }
    counter.open = Math.max(0, counter.open - 1);
    counter.touchedAt = now;
    counter.value += ran ? OUTPUT_WEIGHT * outputTokens : -chargeFor(inputTokens);
  }

  /** Forgets the counters of tenants that were idle for long. */
  public void forgetIdle(long now) {
    Iterator<Counter> all = counters.values().iterator();
    while (all.hasNext()) {
      Counter counter = all.next();
      if (counter.open == 0 && now - counter.touchedAt > FORGET_NANOS) {
        all.remove();
      }
    }
  }

  /** Counters that are kept. */
  int size() {
    return counters.size();
  }
}
