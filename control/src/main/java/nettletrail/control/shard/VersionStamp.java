package nettletrail.control.shard;

import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;

/**
 * The position of a version in the total order of one shard's versions: by the proposal number
 * under which it was written, then by its sequence number.
 *
 * @param proposal the owner's proposal number
 * @param sequence counts the values of the register, from 0
 */
record VersionStamp(ProposalNumber proposal, long sequence) implements Comparable<VersionStamp> {

  static VersionStamp of(ShardVersion version) {
    return new VersionStamp(version.getProposal(), version.getSequence());
  }

  /** Compares two versions; null is below all. */
  static int compare(ShardVersion left, ShardVersion right) {
    if (left == null || right == null) {
      return Boolean.compare(left != null, right != null);
    }
    return of(left).compareTo(of(right));
  }

  @Override
  public int compareTo(VersionStamp other) {
    int byProposal = ProposalNumbers.compare(proposal, other.proposal);
    return byProposal != 0 ? byProposal : Long.compare(sequence, other.sequence);
  }
}
