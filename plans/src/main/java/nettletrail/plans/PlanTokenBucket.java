package nettletrail.plans;

/**
 * One customer's token bucket, which keeps its bound over a change of plan.
 *
 * <p>A plan admits at most B + R t units in any time t. At the instant of a change from (R1, B1) to
 * (R2, B2), with s units in the bucket:
 *
 * <ul>
 *   <li>if R2 &gt; R1 and B2 &lt; B1, the bucket holds s - (B1 - B2). Besides, s units are carried
 *       over, which don't refill and end when the bucket holds as much. A use passes if either
 *       covers it, and is taken from both;
 *   <li>else the bucket holds s, and refills while it is below B2.
 * </ul>
 *
 * <p>Why no window over a change admits more than the larger of the two plans' bounds: let a window
 * contain x of the time before the change and y of the time after it. Before, it admitted at most
 * B1 - s + R1 x. A bucket that continues with s admits s + R2 y: together B1 + R1 x + R2 y, within
 * the old bound if R2 &lt;= R1, and within the new one if R2 &gt; R1 and B2 &gt;= B1. In the case
 * left, the units carried over admit s, within the old bound, and the bucket s - B1 + B2 + R2 y,
 * within the new one. A change adds nothing, so over several changes a window is bound by the
 * largest burst and what the rates in force refill.
 *
 * <p>Units are thousandths; instants are nanoseconds of a clock that never goes back. Not
 * thread-safe.
 */
public final class PlanTokenBucket {
  /**
   * A plan's limit.
   *
   * @param ratePerS units a second, from 0 to below {@link #MAX_UNITS}
   * @param burst units at once, in the same range
   */
  public record Bound(double ratePerS, double burst) {
    /** Checks the values. */
    public Bound {
      if (!(ratePerS >= 0 && burst >= 0 && ratePerS < MAX_UNITS && burst < MAX_UNITS)) {
        throw new IllegalArgumentException("Bound: rate and burst must be 0 or more");
      }
    }

    /** How much it admits at most within this time, in units. */
    public double within(long ns) {
      return burst + ratePerS * ns / SECOND;
    }
  }

  /** Larger amounts would lose units to rounding. */
  private static final double MAX_UNITS = 1e15;

  private static final double SECOND = 1e9;

  private Bound bound;
  private double store;

  /** Units from before changes that are not spent yet; 0 for none. */
  private double carriedOver;

  private long at;

  /** A full bucket under its first plan. */
  public PlanTokenBucket(Bound bound, long now) {
    this.bound = bound;
    store = bound.burst();
    at = now;
  }

  /** The plan in force. */
  public Bound bound() {
    return bound;
  }

  /** How many units may be used now. */
  public double units(long now) {
    fill(now);
    return Math.max(store, carriedOver);
  }

  /** Uses so many units if they are available; returns whether they were. */
  public boolean use(long now, double units) {
    if (units(now) < units) {
      return false;
    }
    draw(units);
    return true;
  }

  /** The true cost of a use is known: so many units more, or fewer if below 0, than were taken. */
  public void settle(long now, double more) {
    fill(now);
    draw(more);
  }

  /** Another plan applies from now on. */
  public void change(long now, Bound next) {
    fill(now);
    double available = Math.max(store, carriedOver);
    boolean mixed = next.ratePerS() > bound.ratePerS() && next.burst() < bound.burst();
    // What was carried over from an earlier change was admitted under the old plan.
    store = mixed ? Math.min(store, available - (bound.burst() - next.burst())) : store;
    carriedOver = mixed || carriedOver > 0 ? available : 0;
    bound = next;
    dropCarriedOver();
  }

  private void draw(double units) {
    // A refund fills the bucket no further than refilling does.
    store = units < 0 ? Math.max(store, Math.min(bound.burst(), store - units)) : store - units;
    if (carriedOver > 0) {
      carriedOver -= units;
      dropCarriedOver();
    }
  }

  private void fill(long now) {
    if (now - at > 0) {
      store =
          Math.min(Math.max(store, bound.burst()), store + bound.ratePerS() * (now - at) / SECOND);
      at = now;
      dropCarriedOver();
    }
  }

  private void dropCarriedOver() {
    if (carriedOver <= store) {
      carriedOver = 0;
    }
  }

  /** When so many units will be available without further use; {@link Long#MAX_VALUE} if never. */
  public long readyAt(long now, double units) {
    if (units(now) >= units) {
      return now;
    }
    if (units > bound.burst() || bound.ratePerS() == 0) {
      return Long.MAX_VALUE;
    }
    return now + (long) Math.ceil((units - store) / bound.ratePerS() * SECOND);
  }

  /** Whether it equals a new bucket, so that it need not be kept. */
  public boolean isFull(long now) {
    fill(now);
    return carriedOver == 0 && store == bound.burst();
  }
}
