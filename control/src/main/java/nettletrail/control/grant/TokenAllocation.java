package nettletrail.control.grant;

/**
 * Divides a bucket's tokens among the doors, at one request. Queued requests come first, then what
 * doors want to prefetch; each of the two is divided max-min fair. So prefetched tokens of other
 * doors give way to a queued request.
 *
 * <p>The door that has waited longest may exceed its fair share, so that a large request doesn't
 * starve. Part of the capacity is never prefetched, so that a request which finds too few tokens at
 * its door is usually served at once.
 */
final class TokenAllocation {
  /** While a door waits, each grant to another takes at most this fraction of the level. */
  private static final double LEVEL_FRACTION_BESIDE_LONGEST_WAITING = 0.5;

  /** Fraction of the capacity that only queued requests may use. */
  private static final double RESERVED_FRACTION = 0.2;

  /** Level and outstanding above this fraction of the capacity count as a nearly full bucket. */
  private static final double NEARLY_FULL_FRACTION = 0.9;

  private final double level;
  private final double supply;
  private final double capacity;
  private final Demand demand;

  /**
   * Describes the bucket at one instant.
   *
   * @param level tokens that aren't granted
   * @param outstanding tokens that doors have, the requesting door's included
   * @param capacity upper bound of level plus outstanding
   * @param demand of all doors, the requesting door's included
   */
  TokenAllocation(double level, double outstanding, double capacity, Demand demand) {
    this.level = level;
    this.supply = level + outstanding;
    this.capacity = capacity;
    this.demand = demand;
  }

  /** Tokens of this capacity that only queued requests may use. */
  static double reserved(double capacity) {
    return RESERVED_FRACTION * capacity;
  }

  /**
   * What the door may use from this request on, the {@code unused} tokens that it still has
   * included.
   */
  double tokensFor(DoorAccount account, double unused) {
    double available = unused + level;
    DoorAccount longestWaiting = demand.longestWaiting();
    if (account.isWaiting() && longestWaiting == account) {
      return Math.min(available, account.required() + prefetchFor(account, unused));
    }
    if (longestWaiting != null) {
      available = unused + level * LEVEL_FRACTION_BESIDE_LONGEST_WAITING;
    }
    double granted = Math.min(available, requiredFor(account) + prefetchFor(account, unused));
    // Tokens that don't cover the door's request would only be withheld from the other doors.
    boolean insufficient = account.isWaiting() && granted < account.required();
    return insufficient && isNearlyFull() ? 0 : granted;
  }

  private double requiredFor(DoorAccount account) {
    if (account.required() == 0) {
      return 0;
    }
    return Math.min(account.required(), MaxMinFairness.fairShare(demand.required(), supply));
  }

  private double prefetchFor(DoorAccount account, double unused) {
    double remaining = supply - demand.totalRequired();
    if (remaining <= 0 || account.prefetch() == 0) {
      return 0;
    }
    double share =
        Math.min(account.prefetch(), MaxMinFairness.fairShare(demand.prefetch(), remaining));
    double unreserved = Math.max(0, level - reserved(capacity));
    return Math.min(share, Math.max(0, unused - account.required()) + unreserved);
  }

  private boolean isNearlyFull() {
    return supply >= NEARLY_FULL_FRACTION * capacity;
  }
}
