package nettletrail.plans;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import nettletrail.plans.ledger.Line;

/** What customers used in a period, summed by plan and kind of line over one or several ledgers. */
public final class Statement {
  /** By what lines are summed. */
  public record Key(long customer, String plan, Line.Kind kind) {}

  /**
   * The sum of some lines.
   *
   * @param milli units in thousandths
   */
  public record Sum(long lines, long milli) {
    private Sum plus(long more) {
      return new Sum(lines + 1, milli + more);
    }
  }

  /**
   * Selects lines.
   *
   * @param customer below 0 for all
   * @param plan "" for all
   * @param fromMs Unix time, ms, inclusive
   * @param toMs Unix time, ms, exclusive
   */
  public record Filter(long customer, String plan, long fromMs, long toMs) {
    /** Whether this line is selected. */
    public boolean matches(Line line) {
      boolean inPeriod = line.wallMs() >= fromMs && line.wallMs() < toMs;
      boolean ofCustomer = customer < 0 || line.customer() == customer;
      boolean ofPlan = plan.isEmpty() || line.plan().equals(plan);
      return inPeriod && ofCustomer && ofPlan;
    }
  }

  private final Map<Key, Sum> sums =
      new TreeMap<>(
          Comparator.comparingLong(Key::customer)
              .thenComparing(Key::plan)
              .thenComparing(Key::kind));

  /** Adds a line. */
  public void add(Line line) {
    sums.merge(
        new Key(line.customer(), line.plan(), line.kind()),
        new Sum(1, line.milli()),
        (sum, one) -> sum.plus(line.milli()));
  }

  /** The sums by customer, plan and kind. */
  public Map<Key, Sum> sums() {
    return sums;
  }

  /** The sum of all lines, in thousandths of a unit. */
  public long milli() {
    return sums.values().stream().mapToLong(Sum::milli).sum();
  }
}
