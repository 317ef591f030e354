package nettletrail.router.admission;

import java.util.SplittableRandom;

/**
 * Sheds a tenant's requests above its rate early, by this door's estimate of the tenant's global
 * token bucket. Requests that it admits still need tokens of a grant.
 *
 * <p>The bucket starts with {@code burst / n} tokens, where {@code n} is the number of doors that
 * serve the tenant, and fills at {@code rate / n} until the first pressure reading. From then on
 * each reading {@code p}, the use of all doors in per cent of the rate, adds {@code (100 - p)%} of
 * a period's {@code rate / n}, up to {@code burst}; the door's own use is part of {@code p}. The
 * bucket's minimum is {@code -burst / n}, which refills in the same time at any number of doors.
 * While the bucket is empty, requests are admitted with probability {@code a} (adaptive throttling,
 * Google SRE book, chapter 21): {@code a} starts at 1 and becomes {@code min(1, a * 100 / p)} at
 * each reading, or 1 if {@code p} is 0.
 *
 * <p>Deterministic for a seed, not thread-safe; {@code now} is in ns of the steady clock.
 */
public final class AdmissionController {
  /** Interval between two readings of the pressure. */
  public static final long PERIOD_NANOS = 500_000_000L;

  /** With a lower probability a tenant would hardly recover after its demand has ended. */
  static final double MIN_ADMIT_PROBABILITY = 0.05;

  private static final double FULL_PERCENT = 100;
  private static final double NANOS_PER_SECOND = 1e9;

  private final SplittableRandom random;
  private double ratePerSecond;
  private double burst;
  private double bucketTokens;
  private double admitProbability = 1;

  /** Whether a pressure above 0 was read: from then on readings replace the door's own count. */
  private boolean hasReading;

  private long updatedAt;

  /**
   * @param ratePerSecond tokens of the tenant a second, above 0
   * @param burst tokens, the capacity of the bucket
   * @param doors that serve the tenant
   * @param seed of the random choices
   */
  public AdmissionController(double ratePerSecond, double burst, int doors, long seed, long now) {
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    random = new SplittableRandom(seed);
    bucketTokens = burst / Math.max(1, doors);
    updatedAt = now;
  }

  /** Replaces the tenant's rate limit; the bucket keeps its tokens. */
  public void setLimit(double newRatePerSecond, double newBurst) {
    ratePerSecond = newRatePerSecond;
    burst = newBurst;
  }

  /**
   * Whether a request is admitted; may draw a random number.
   *
   * @param pressurePercent the latest reading, in per cent of the tenant's rate
   * @param doors that serve the tenant
   */
  public boolean admits(double pressurePercent, int doors, long now) {
    update(pressurePercent, Math.max(1, doors), now);
    return bucketTokens > 0 || admitProbability >= 1 || random.nextDouble() < admitProbability;
  }

  /** A request took its tokens. Without effect once the pressure includes them. */
  public void recordUse(long tokens) {
    if (!hasReading) {
      bucketTokens -= tokens;
    }
  }

  private void update(double pressurePercent, int doors, long now) {
    if (!hasReading) {
      fillWithoutReading(pressurePercent, doors, now);
    } else if (now - updatedAt >= PERIOD_NANOS) {
      applyReading(pressurePercent, doors, now);
    }
  }

  private void fillWithoutReading(double pressurePercent, int doors, long now) {
    double seconds = (now - updatedAt) / NANOS_PER_SECOND;
    bucketTokens = Math.min(burst, bucketTokens + seconds * ratePerSecond / doors);
    hasReading = pressurePercent > 0;
    updatedAt = now;
  }

  private void applyReading(double pressurePercent, int doors, long now) {
    double periods = Math.floor((double) (now - updatedAt) / PERIOD_NANOS);
    updatedAt = now;
    double seconds = periods * PERIOD_NANOS / NANOS_PER_SECOND;
    double unusedShare = (FULL_PERCENT - pressurePercent) / FULL_PERCENT;
    double min = -burst / doors;
    double filled = bucketTokens + unusedShare * seconds * ratePerSecond / doors;
    bucketTokens = Math.min(burst, Math.max(min, filled));
    if (bucketTokens > 0 || pressurePercent <= 0) {
      admitProbability = 1;
    } else {
      double next = Math.min(1, admitProbability * FULL_PERCENT / pressurePercent);
      admitProbability = Math.max(MIN_ADMIT_PROBABILITY, next);
    }
  }

  /** The probability with which requests are admitted while the bucket is empty. */
  double admitProbability() {
    return admitProbability;
  }

  /** Estimated tokens in the bucket; may be negative. */
  double bucketTokens() {
    return bucketTokens;
  }
}
