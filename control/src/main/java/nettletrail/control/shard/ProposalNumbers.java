package nettletrail.control.shard;

import nettletrail.protocol.ProposalNumber;

/** Order of ballots: by round, then node. A missing ballot is below all others. */
public final class ProposalNumbers {

  /** Below every ballot that a candidate uses. */
  public static final ProposalNumber ZERO = new ProposalNumber(0L, "");

  private ProposalNumbers() {}

  /** Compares as {@link java.util.Comparator} does; null counts as {@link #ZERO}. */
  public static int compare(ProposalNumber left, ProposalNumber right) {
    ProposalNumber first = orZero(left);
    ProposalNumber second = orZero(right);
    int byRound = Long.compare(first.getTerm(), second.getTerm());
    return byRound != 0 ? byRound : first.getNode().compareTo(second.getNode());
  }

  /** True when the left one is strictly above the right one. */
  public static boolean above(ProposalNumber left, ProposalNumber right) {
    return compare(left, right) > 0;
  }

  /** The higher one. */
  public static ProposalNumber max(ProposalNumber left, ProposalNumber right) {
    return compare(left, right) >= 0 ? orZero(left) : orZero(right);
  }

  /** The lowest ballot of a node that is above the given one. */
  public static ProposalNumber next(ProposalNumber seen, String node) {
    return new ProposalNumber(orZero(seen).getTerm() + 1, node);
  }

  private static ProposalNumber orZero(ProposalNumber proposal) {
    return proposal == null ? ZERO : proposal;
  }
}
