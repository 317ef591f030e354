package nettletrail.control.shard;

import nettletrail.protocol.Ballot;

/** Order of ballots: by round, then node. A missing ballot is below all others. */
public final class Ballots {

  /** Below every ballot that a candidate uses. */
  public static final Ballot ZERO = new Ballot(0L, "");

  private Ballots() {}

  /** Compares as {@link java.util.Comparator} does; null counts as {@link #ZERO}. */
  public static int compare(Ballot left, Ballot right) {
    Ballot first = orZero(left);
    Ballot second = orZero(right);
    int byRound = Long.compare(first.getRound(), second.getRound());
    return byRound != 0 ? byRound : first.getNode().compareTo(second.getNode());
  }

  /** True when the left one is strictly above the right one. */
  public static boolean above(Ballot left, Ballot right) {
    return compare(left, right) > 0;
  }

  /** The higher one. */
  public static Ballot max(Ballot left, Ballot right) {
    return compare(left, right) >= 0 ? orZero(left) : orZero(right);
  }

  /** The lowest ballot of a node that is above the given one. */
  public static Ballot next(Ballot seen, String node) {
    return new Ballot(orZero(seen).getRound() + 1, node);
  }

  private static Ballot orZero(Ballot ballot) {
    return ballot == null ? ZERO : ballot;
  }
}
