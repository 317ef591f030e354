package nettletrail.store;

import java.util.List;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;

/**
 * What a disk holds of one shard.
 *
 * @param promised the highest ballot that was promised, or null
 * @param version the newest version that is whole, or null
 * @param damaged names of files that could not be read whole; empty on a healthy disk
 */
public record StoredShard(ProposalNumber promised, ShardVersion version, List<String> damaged) {

  /** Copies the list. */
  public StoredShard {
    damaged = List.copyOf(damaged);
  }

  /** True when nothing was ever stored. */
  public boolean isEmpty() {
    return promised == null && version == null;
  }
}
