package nettletrail.control.shard;

import nettletrail.protocol.ProposalNumber;

/** The total order of proposal numbers: by term, then node. Null is below all others. */
public final class ProposalNumbers {

  /** Below every proposal number that a candidate uses. */
  public static final ProposalNumber ZERO = new ProposalNumber(0L, "");

  private ProposalNumbers() {}

  /** Compares as {@link java.util.Comparator} does; null counts as {@link #ZERO}. */
  public static int compare(ProposalNumber left, ProposalNumber right) {
    ProposalNumber first = orZero(left);
    ProposalNumber second = orZero(right);
    int byTerm = Long.compare(first.getTerm(), second.getTerm());
    return byTerm != 0 ? byTerm : first.getNode().compareTo(second.getNode());
  }

  /** True if the left one is strictly above the right one; null counts as {@link #ZERO}. */
  public static boolean isAbove(ProposalNumber left, ProposalNumber right) {
    return compare(left, right) > 0;
  }

  /** The higher one; never null. */
  public static ProposalNumber max(ProposalNumber left, ProposalNumber right) {
    return compare(left, right) >= 0 ? orZero(left) : orZero(right);
  }

  /**
   * A proposal number of a node, with the term after the given one's; the given one may be null.
   */
  public static ProposalNumber next(ProposalNumber seen, String node) {
    return new ProposalNumber(orZero(seen).getTerm() + 1, node);
  }

  private static ProposalNumber orZero(ProposalNumber proposal) {
    return proposal == null ? ZERO : proposal;
  }
}
