package nettletrail.emulator.checker;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/** Checks that a tenant's use at all doors stays within its limit in every sliding window. */
public final class QuotaChecker {
  /**
   * A tenant's limit.
   *
   * @param ratePerSecond tokens per second
   * @param burst tokens in addition to the rate
   * @param window length of the window, in nanoseconds
   * @param tolerance the fraction by which the sum may be exceeded
   * @param slack the tokens by which it may be exceeded in addition
   */
  public record Limit(
      double ratePerSecond, double burst, long window, double tolerance, double slack) {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** The maximum of tokens that may be used in one window. */
    public double maxPerWindow() {
      double regular = ratePerSecond * window / NANOSECONDS_PER_SECOND + burst;
      return regular * (1 + tolerance) + slack;
    }
  }

  private final String tenant;
  private final Limit limit;
  private final Consumer<Violation> violations;
  private final Deque<Use> window = new ArrayDeque<>();
  private long used;
  private long maxUsed;

  /**
   * @param violations receives the violations
   */
  public QuotaChecker(String tenant, Limit limit, Consumer<Violation> violations) {
    this.tenant = tenant;
    this.limit = limit;
    this.violations = violations;
  }

  /** A door admitted tokens; instants must not decrease. */
  public void used(long instant, long tokens) {
    window.add(new Use(instant, tokens));
    used += tokens;
    while (window.peek().instant <= instant - limit.window()) {
      used -= window.poll().tokens;
    }
    maxUsed = Math.max(maxUsed, used);
    if (used > limit.maxPerWindow()) {
      String what = tenant + " used " + used + " of at most " + limit.maxPerWindow();
      violations.accept(new Violation(Guarantee.QUOTA_WINDOW, instant, what));
    }
  }

  /** The maximum of tokens that were used in any window. */
  public long maxUsed() {
    return maxUsed;
  }

  private record Use(long instant, long tokens) {}
}
