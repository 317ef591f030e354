package nettletrail.control.shard;

import java.nio.ByteBuffer;
import java.util.List;
import nettletrail.protocol.Member;
import nettletrail.protocol.ShardVersion;
import nettletrail.store.NodeIdentity;
import nettletrail.store.StoredShard;

/**
 * The versions that shards start from: no value, and a group of the core processes that the seeds
 * name. They have the lowest proposal number, under which nobody commits anything.
 */
public final class Bootstrap {

  /** At the first start of the system. */
  private static final long FIRST_START_SEQUENCE = 0;

  /** Where the first start was cut short; above the version that it may have left behind. */
  private static final long RECOVERY_SEQUENCE = 1;

  private Bootstrap() {}

  /** The version of the first start, with the seeds' founding identities. */
  public static ShardVersion initialVersion(List<String> seedAddresses) {
    return version(
        FIRST_START_SEQUENCE, seedAddresses.stream().map(NodeIdentity::founding).toList());
  }

  /** The version that the members start from after a first start that was cut short. */
  static ShardVersion recoveredVersion(List<Member> members) {
    return version(RECOVERY_SEQUENCE, members);
  }

  private static ShardVersion version(long sequence, List<Member> members) {
    return new ShardVersion(ProposalNumbers.ZERO, sequence, members, ByteBuffer.allocate(0));
  }

  /** True if no version or only that of the first start is stored, and nothing was promised. */
  static boolean isUntouched(StoredShard stored) {
    return stored.promised() == null && isUnused(stored.version());
  }

  /** True for no version, and for that of the first start, which no owner has written again. */
  static boolean isUnused(ShardVersion version) {
    return version == null
        || version.getProposal().equals(ProposalNumbers.ZERO)
            && version.getSequence() == FIRST_START_SEQUENCE;
  }
}
