package nettletrail.router.retry;

/**
 * Retry budget of this door for one service. The sum over all doors stays within the deployment's
 * limit without coordination: in each window the retries are at most {@link #SHARE} of the ratio
 * times the requests of the same window, plus this door's part of {@link #SHARE} of the slack.
 *
 * <p>The deployment's limit counts the requests of the larger of two adjacent windows, and this
 * class those of a window that overlaps both. They are at most twice as many, hence the share of a
 * half. The slack grows from 0 to its full value within the first window of a process, so that
 * restarts don't earn any.
 *
 * <p>Counts are kept in {@link #SLICES} slices of a window. Retries are summed over one slice more
 * than requests, so that the rounding of both is conservative. Deterministic, not thread-safe;
 * {@code now} is in ns of the steady clock.
 */
public final class RetryBudget {
  /** Share of the deployment's limit that the doors use. */
  public static final double SHARE = 0.5;

  static final int SLICES = 10;

  private final double ratio;
  private final double slack;
  private final long sliceNanos;
  private final long startedAt;
  private final long[] requests = new long[SLICES + 1];
  private final long[] retries = new long[SLICES + 1];
  private long slice;

  /**
   * @param ratio retries for each request that all doors together may make
   * @param slack retries that all doors together may make in a window in addition
   * @param windowNanos length of the window, in ns
   * @param startedAt when this process started
   */
  public RetryBudget(double ratio, double slack, long windowNanos, long startedAt) {
    this.ratio = ratio;
    this.slack = slack;
    this.startedAt = startedAt;
    sliceNanos = Math.max(1, windowNanos / SLICES);
  }

  /** Records the first attempt of a request. */
  public void recordRequest(long now) {
    advance(now);
    requests[index(slice)]++;
  }

  /**
   * Whether a retry is within the budget.
   *
   * @param doors that serve, this one included
   */
  public boolean allowsRetry(int doors, long now) {
    advance(now);
    long requestsInWindow = sum(requests, SLICES);
    long retriesInWindow = sum(retries, SLICES + 1);
    return retriesInWindow + 1 <= SHARE * ratio * requestsInWindow + doorSlack(doors, now);
  }

  /**
   * Records a retry if it is within the budget.
   *
   * @return whether it is
   */
  public boolean tryAcquire(int doors, long now) {
    if (!allowsRetry(doors, now)) {
      return false;
    }
    retries[index(slice)]++;
    return true;
  }

  /** Returns one acquired retry that was not sent. */
  public void refund(long now) {
    advance(now);
    int current = index(slice);
    retries[current] = Math.max(0, retries[current] - 1);
  }

  private double doorSlack(int doors, long now) {
    double windows = (double) (now - startedAt) / (sliceNanos * SLICES);
    return SHARE * slack / Math.max(1, doors) * Math.min(1, Math.max(0, windows));
  }

  private void advance(long now) {
    long current = (now - startedAt) / sliceNanos;
    if (current - slice > SLICES) {
      slice = current - SLICES - 1;
    }
    while (slice < current) {
      slice++;
      requests[index(slice)] = 0;
      retries[index(slice)] = 0;
    }
  }

  private static int index(long slice) {
    return (int) Math.floorMod(slice, (long) SLICES + 1);
  }

  /** The sum over the newest slices. */
  private long sum(long[] counts, int slices) {
    long sum = 0;
    for (int i = 0; i < slices; i++) {
      sum += counts[index(slice - i)];
    }
    return sum;
  }
}
