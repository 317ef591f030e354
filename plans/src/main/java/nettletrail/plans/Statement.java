package nettletrail.plans;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import nettletrail.plans.ledger.Line;

/**
 * What customers used in a period, by plan and kind of line, out of one or several ledgers. Each
 * line counts once.
 */
public final class Statement {
  /** What is added up. */
  public record Key(long customer, String plan, Line.Kind kind) {}

  /**
   * @param milli units in thousandths
   */
  public record Sum(long lines, long milli) {
    private Sum and(long more) {
      return new Sum(lines + 1, milli + more);
    }
  }

  /**
   * Which lines are asked for.
   *
   * @param customer below 0 for all
   * @param plan "" for all
   * @param fromMs Unix time, ms, inclusive
   * @param toMs the same, exclusive
   */
  public record Wish(long customer, String plan, long fromMs, long toMs) {
    /** Whether this line is. */
    public boolean covers(Line line) {
      return (customer < 0 || line.customer() == customer)
          && (plan.isEmpty() || line.plan().equals(plan))
          && line.wallMs() >= fromMs
          && line.wallMs() < toMs;
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
        (there, one) -> there.and(line.milli()));
  }

  /** By customer, plan and kind. */
  public Map<Key, Sum> sums() {
    return sums;
  }

  /** All units, thousandths. */
  public long milli() {
    return sums.values().stream().mapToLong(Sum::milli).sum();
  }
}
