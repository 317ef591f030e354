package nettletrail.store;

import java.util.List;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;

/**
 * The state of one shard as read from a disk.
 *
 * @param promised the highest promised proposal number; null if none is stored or it is damaged
 * @param version the newest version that can be read, or null
 * @param damagedFiles names of files whose content is damaged, sorted; empty on a healthy disk
 */
public record StoredShard(
    ProposalNumber promised, ShardVersion version, List<String> damagedFiles) {

  /** Copies the list. */
  public StoredShard {
    damagedFiles = List.copyOf(damagedFiles);
  }

  /** True when nothing was ever stored. */
  public boolean isEmpty() {
    return promised == null && version == null;
  }
}
