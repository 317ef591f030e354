package nettletrail.plans;

/**
 * One customer's store (a token bucket) that keeps its promise over a change of plan.
 *
 * <p><b>The rule.</b> A plan lets through at most B + R t units in any time t. At the instant of a
 * change from (R1, B1) to (R2, B2), with s units in the store:
 *
 * <pre>
 * R2 &gt; R1 and B2 &lt; B1    the store holds s - (B1 - B2), and beside it s is left over, which fills no more and ends when the
 *                        store holds as much; a use passes if either holds it, and is drawn from both
 * else                   the store holds s, and fills while it is below B2
 * </pre>
 *
 * <b>Why.</b> Let a window hold x of the time before the change and y of that after it. Before, it
 * let through B1 - s + R1 x at most (a store's promise, by what it held at the end). A store that
 * goes on with s lets through s + R2 y: together B1 + R1 x + R2 y, within the old plan's bound if
 * R2 &lt;= R1 and within the new one's if R2 &gt; R1 and B2 &gt;= B1. In the case left, what is
 * left over lets through s: within the old plan's bound; the store s - B1 + B2 + R2 y: within the
 * new one's. So no window over a change lets through more than the larger of the two plans' bounds,
 * and what was there can always be used. A change adds nothing, so that over several of them a
 * window is bound by the largest burst and what the rates in force fill.
 *
 * <p>Units are in thousandths, times in ns of any clock that does not go back. Not thread-safe.
 */
public final class PlanStore {
  /** A plan's bound: units (thousandths) a second, and at once. */
  public record Bound(double ratePerS, double burst) {
    public Bound {
      if (!(ratePerS >= 0 && burst >= 0 && ratePerS < 1e15 && burst < 1e15)) {
        throw new IllegalArgumentException("Bound: rate and burst must be 0 or more");
      }
    }

    /** What it lets through at most in this time. */
    public double within(long ns) {
      return burst + ratePerS * ns / SECOND;
    }
  }

  private static final double SECOND = 1e9;

  private Bound bound;
  private double store;

  /** What was there at changes and isn't spent; 0 for none. */
  private double leftOver;

  private long at;

  /** Full, under its first plan. */
  public PlanStore(Bound bound, long now) {
    this.bound = bound;
    store = bound.burst();
    at = now;
  }

  /** The plan in force. */
  public Bound bound() {
    return bound;
  }

  /** Units that may be used now. */
  public double units(long now) {
    fill(now);
    return Math.max(store, leftOver);
  }

  /** Whether so many may be used; if so they are. */
  public boolean use(long now, double units) {
    if (units(now) < units) {
      return false;
    }
    draw(units);
    return true;
  }

  /** The true units of a use are known: so many more, or fewer if below 0, than were used. */
  public void settle(long now, double more) {
    fill(now);
    draw(more);
  }

  /** Another plan is in force from now on. */
  public void change(long now, Bound next) {
    fill(now);
    double held = Math.max(store, leftOver);
    boolean mixed = next.ratePerS() > bound.ratePerS() && next.burst() < bound.burst();
    // Where something is left over from a change before, what it let through counts as the old
    // plan's.
    store = mixed ? Math.min(store, held - (bound.burst() - next.burst())) : store;
    leftOver = mixed || leftOver > 0 ? held : 0;
    bound = next;
    dropLeftOver();
  }

  private void draw(double units) {
    // What is given back fills no further than filling does.
    store = units < 0 ? Math.max(store, Math.min(bound.burst(), store - units)) : store - units;
    if (leftOver > 0) {
      leftOver -= units;
      dropLeftOver();
    }
  }

  private void fill(long now) {
    if (now - at > 0) {
      store =
          Math.min(Math.max(store, bound.burst()), store + bound.ratePerS() * (now - at) / SECOND);
      at = now;
      dropLeftOver();
    }
  }

  private void dropLeftOver() {
    if (leftOver <= store) {
      leftOver = 0;
    }
  }

  /** When so many units will be there, if nothing is used; {@link Long#MAX_VALUE} if never. */
  public long readyAt(long now, double units) {
    if (units(now) >= units) {
      return now;
    }
    if (units > bound.burst() || bound.ratePerS() == 0) {
      return Long.MAX_VALUE;
    }
    return now + (long) Math.ceil((units - store) / bound.ratePerS() * SECOND);
  }

  /** Whether it is as a new one would be: then it need not be remembered. */
  public boolean isFull(long now) {
    fill(now);
    return leftOver == 0 && store == bound.burst();
  }
}
