package nettletrail.control.grant;

/**
 * Divides a bucket's tokens among the doors, at one request. Queued requests come first, then what
 * doors want to prefetch.
 *
 * <p>A door with queued requests gets all that they need or nothing: a part would serve none of
 * them, and could be used by no other door until it came back. With many doors such parts can hold
 * the complete capacity, and then nothing refills and nobody is served. The one exception is the
 * door that has waited longest: it collects tokens until they suffice, so that large requests don't
 * starve.
 *
 * <p>Prefetched tokens give way: all doors together may hold only what is above a reserve and not
 * needed by queued requests, in proportion to what they want.
 */
final class TokenAllocation {
  /** While a door waits, each grant to another takes at most this fraction of the level. */
  private static final double LEVEL_FRACTION_BESIDE_LONGEST_WAITING = 0.5;

  /** Fraction of the capacity that only queued requests may use. */
  private static final double RESERVED_FRACTION = 0.2;

  /** Fraction of the capacity that all doors together may prefetch while nobody waits. */
  private static final double PREFETCHED_FRACTION = 0.6;

  private final double level;
  private final double capacity;
  private final DoorAccounts accounts;
  private final DoorAccount longestWaiting;

  /**
   * Describes the bucket at one instant.
   *
   * @param level tokens that aren't granted
   * @param capacity upper bound of level plus outstanding
   * @param accounts of all doors, with the requesting door's present demand
   */
  TokenAllocation(double level, double capacity, DoorAccounts accounts, long now) {
    this.level = level;
    this.capacity = capacity;
    this.accounts = accounts;
    this.longestWaiting = accounts.longestWaiting(now);
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
    double prefetch = prefetchFor(account, unused);
    if (!account.isWaiting()) {
      double available = unused + availableBesideLongestWaiting();
      return Math.min(available, account.required() + prefetch);
    }
    if (longestWaiting == account) {
      return Math.min(unused + level, account.required() + prefetch);
    }
    double available = unused + availableBesideLongestWaiting();
    boolean sufficient = available >= account.required();
    return sufficient ? Math.min(available, account.required() + prefetch) : prefetch;
  }

  private double availableBesideLongestWaiting() {
    return longestWaiting == null ? level : level * LEVEL_FRACTION_BESIDE_LONGEST_WAITING;
  }

  private double prefetchFor(DoorAccount account, double unused) {
    double supply = level + accounts.outstanding();
    double spare = supply - accounts.required() - (1 - PREFETCHED_FRACTION) * capacity;
    if (spare <= 0 || account.prefetch() == 0) {
      return 0;
    }
    double share = account.prefetch() * Math.min(1, spare / accounts.prefetch());
    double unreserved = Math.max(0, level - reserved(capacity));
    return Math.min(share, Math.max(0, unused - account.required()) + unreserved);
  }
}
