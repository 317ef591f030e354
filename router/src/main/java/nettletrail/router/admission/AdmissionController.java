package nettletrail.router.admission;

import java.util.SplittableRandom;

/**
 * Refuses early what a tenant asks beyond its rate, by this door's estimate of the tenant's global
 * store of tokens. It works inside the hard grants: whatever it lets in must still find tokens
 * there.
 *
 * <p>The store begins at {@code burst / n}, where {@code n} is the number of doors that serve the
 * tenant, and fills at {@code rate / n} until the first reading. After that each reading {@code p},
 * the use of all doors in percent of the rate, adds {@code (100 - p)%} of a period's {@code rate /
 * n}, up to {@code burst}; the door's own use is in it. It falls no lower than {@code -burst / n},
 * which fills again as fast as the part of this door does, however many doors there are. While the
 * store is spent, the admission share {@code a}, at first 1, becomes {@code min(1, a * 100 / p)} at
 * each reading, or 1 if {@code p} is 0, and a request is refused with chance {@code 1 - a}. Pure
 * and seeded; {@code now} is in ns.
 */
public final class AdmissionController {
  /** From one reading to the next. */
  public static final long PERIOD_NANOS = 500_000_000L;

  /** The least share: with less, a tenant whose demand has ended would hardly be let in again. */
  static final double MIN_SHARE = 0.05;

  private static final double COMPLETE_PERCENT = 100;
  private static final double NANOS_PER_SECOND = 1e9;

  private final SplittableRandom random;
  private double ratePerSecond;
  private double burst;
  private double store;
  private double share = 1;
  private boolean read;
  private long touchedAt;

  /**
   * @param ratePerSecond tokens of the tenant a second, above 0
   * @param burst tokens beyond
   * @param doors that serve the tenant
   */
  public AdmissionController(double ratePerSecond, double burst, int doors, long seed, long now) {
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    random = new SplittableRandom(seed);
    store = burst / Math.max(1, doors);
    touchedAt = now;
  }

  /** The tenant's limit is another one. */
  public void limit(double newRatePerSecond, double newBurst) {
    ratePerSecond = newRatePerSecond;
    burst = newBurst;
  }

  /**
   * Whether a request may try for tokens.
   *
   * @param pressurePercent as last read
   */
  public boolean admits(double pressurePercent, int doors, long now) {
    advance(pressurePercent, Math.max(1, doors), now);
    return store > 0 || share >= 1 || random.nextDouble() < share;
  }

  /** A request that was let in took its tokens; once there are readings, they tell of it. */
  public void used(long tokens) {
    if (!read) {
      store -= tokens;
    }
  }

  private void advance(double pressurePercent, int doors, long now) {
    if (!read) {
      double seconds = (now - touchedAt) / NANOS_PER_SECOND;
      store = Math.min(burst, store + seconds * ratePerSecond / doors);
      read = pressurePercent > 0;
      touchedAt = now;
      return;
    }
    if (now - touchedAt < PERIOD_NANOS) {
      return;
    }
    double periods = Math.floor((double) (now - touchedAt) / PERIOD_NANOS);
    touchedAt = now;
    double period = periods * PERIOD_NANOS / NANOS_PER_SECOND;
    double left = (COMPLETE_PERCENT - pressurePercent) / COMPLETE_PERCENT;
    double min = -burst / doors;
    store = Math.min(burst, Math.max(min, store + left * period * ratePerSecond / doors));
    if (store > 0 || pressurePercent <= 0) {
      share = 1;
    } else {
      share = Math.max(MIN_SHARE, Math.min(1, share * COMPLETE_PERCENT / pressurePercent));
    }
  }

  /** The part of the requests that is let in while the store is spent. */
  double share() {
    return share;
  }

  /** Tokens of the tenant that this door believes to be left. */
  double store() {
    return store;
  }
}
