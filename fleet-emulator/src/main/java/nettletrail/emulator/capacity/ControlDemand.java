package nettletrail.emulator.capacity;

import java.util.SplittableRandom;

/**
 * Who asks for what: tenants by Zipf's law with exponent 1, requests of exponentially spread size.
 */
public final class ControlDemand {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Tokens of a request, prompt and answer, on the mean. */
  static final double MEAN_TOKENS = 2_000;

  private static final double MAX_TIMES_MEAN = 20;
  private static final double MIN_LIMIT_REQUESTS = 10;

  private final double[] cumulative;
  private final double requestsPerSecond;

  /** {@code requestsPerSecond}: of all tenants together. */
  public ControlDemand(int tenants, double requestsPerSecond) {
    this.requestsPerSecond = requestsPerSecond;
    cumulative = new double[tenants];
    double sum = 0;
    for (int i = 0; i < tenants; i++) {
      sum += 1.0 / (i + 1);
      cumulative[i] = sum;
    }
    for (int i = 0; i < tenants; i++) {
      cumulative[i] /= sum;
    }
  }

  /** A tenant's number, 0 for the largest. */
  int tenant(SplittableRandom random) {
    int found = java.util.Arrays.binarySearch(cumulative, random.nextDouble());
    int index = found >= 0 ? found : -found - 1;
    return Math.min(index, cumulative.length - 1);
  }

  /** Tokens that this tenant asks for in a second on the mean. */
  public double tokensPerSecond(int tenant) {
    double share = tenant == 0 ? cumulative[0] : cumulative[tenant] - cumulative[tenant - 1];
    return share * requestsPerSecond * MEAN_TOKENS;
  }

  /**
   * What a tenant's limit is, tokens a second: twice what it asks for on the mean, and some
   * requests at least.
   */
  public double limit(int tenant) {
    return Math.max(MIN_LIMIT_REQUESTS * MEAN_TOKENS, 2 * tokensPerSecond(tenant));
  }

  static long tokens(SplittableRandom random) {
    double times = -Math.log(1 - random.nextDouble());
    return Math.max(1, Math.round(MEAN_TOKENS * Math.min(MAX_TIMES_MEAN, times)));
  }

  /** Nanoseconds until the next request of a stream of this rate. */
  static long gap(SplittableRandom random, double perSecond) {
    return Math.max(1, (long) (-Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / perSecond));
  }
}
