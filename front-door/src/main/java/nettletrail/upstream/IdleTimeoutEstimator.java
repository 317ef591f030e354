package nettletrail.upstream;

import java.util.concurrent.TimeUnit;

/**
 * Estimates how long a kept-alive connection may be idle and still be reused, from connections that
 * were lost on their next request. A backend, or a NAT or load balancer on the path that forgets a
 * flow, may drop idle connections silently and far sooner than the settings say. The request
 * written to one is lost, and one that must not run twice can't be retried. Loss rates of idle
 * times are compared with each other, because connections are also lost for reasons unrelated to
 * their idle time. Drawback: a fault that happens to hit only connections with long idle times
 * stops their reuse for some seconds, and each request then pays for a new connection.
 *
 * <p>Times are in ns of {@link System#nanoTime}.
 */
public final class IdleTimeoutEstimator {
  /**
   * Upper bound of the first histogram bucket; bounds double from bucket to bucket, and the last
   * one is unbounded.
   */
  private static final long FIRST_BUCKET_NANOS = TimeUnit.MILLISECONDS.toNanos(16);

  private static final int BUCKETS = 12;

  /** Losses from which on a bucket may be unsafe: fewer may be chance. */
  private static final double MIN_LOSSES = 2.5;

  /**
   * A bucket is unsafe if its loss rate is above this multiple of that of the shorter idle times,
   * and above the minimum.
   */
  private static final double MIN_LOSS_RATE_RATIO = 2;

  private static final double MIN_LOSS_RATE = 0.1;

  /** Half-life of the counts, so that an idle time once unsafe is tried again. */
  private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(8);

  private static final long DECAY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final double[] uses = new double[BUCKETS];
  private final double[] losses = new double[BUCKETS];
  private long decayedAt;

  /**
   * @param nowNanos the current {@link System#nanoTime}
   */
  public IdleTimeoutEstimator(long nowNanos) {
    decayedAt = nowNanos;
  }

  /**
   * Records the reuse of a connection after this idle time, and whether it was lost before the
   * first response byte.
   */
  public void recordUse(long idleNanos, boolean lost, long nowNanos) {
    decay(nowNanos);
    int bucket = bucketOf(idleNanos);
    uses[bucket]++;
    losses[bucket] += lost ? 1 : 0;
  }

  /**
   * Returns the longest idle time after which to reuse a connection; {@link Long#MAX_VALUE} for no
   * limit.
   */
  public long maxIdleNanos(long nowNanos) {
    decay(nowNanos);
    double shorterUses = uses[0];
    double shorterLosses = losses[0];
    for (int bucket = 1; bucket < BUCKETS; bucket++) {
      double shorterLossRate = shorterUses > 0 ? shorterLosses / shorterUses : 0;
      if (losses[bucket] >= MIN_LOSSES
          && losses[bucket]
              > Math.max(MIN_LOSS_RATE, MIN_LOSS_RATE_RATIO * shorterLossRate) * uses[bucket]) {
        return FIRST_BUCKET_NANOS << bucket - 1;
      }
      shorterUses += uses[bucket];
      shorterLosses += losses[bucket];
    }
    return Long.MAX_VALUE;
  }

  private static int bucketOf(long idleNanos) {
    long multiple = Math.max(0, idleNanos) / FIRST_BUCKET_NANOS;
    return Math.min(BUCKETS - 1, Long.SIZE - Long.numberOfLeadingZeros(multiple));
  }

  private void decay(long nowNanos) {
    if (nowNanos - decayedAt < DECAY_INTERVAL_NANOS) {
      return;
    }
    double factor = Math.pow(0.5, (nowNanos - decayedAt) / HALF_LIFE_NANOS);
    decayedAt = nowNanos;
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      uses[bucket] *= factor;
      losses[bucket] *= factor;
    }
  }
}
