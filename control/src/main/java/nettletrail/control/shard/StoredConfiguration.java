package nettletrail.control.shard;

import java.util.List;
import nettletrail.protocol.ConfigurationChange;
import nettletrail.protocol.ShardVersion;

/**
 * The content of a version of the configuration shard, for operators and tools. Immutable.
 *
 * @param sequence the version's number
 * @param edition the document's edition; 0 before the first change
 * @param document the document's JSON; empty at edition 0
 * @param changes the changes that were applied and are remembered, the oldest first
 */
public record StoredConfiguration(
    long sequence, long edition, byte[] document, List<ConfigurationChange> changes) {

  /**
   * Reads a version of the configuration shard.
   *
   * @throws IllegalStateException if its value is malformed
   */
  public static StoredConfiguration of(ShardVersion version) {
    ConfigurationState state = ConfigurationState.decode(version.getValue());
    return new StoredConfiguration(
        version.getSequence(),
        state.edition(),
        state.documentBytes(),
        state.appliedChanges().changes());
  }

  /**
   * Whether this version is part of the history of a committed one: the change that made it is
   * among those that the committed one remembers. Its edition doesn't tell that, since a version
   * that only some replicas accepted, and that was never committed, may have the edition of another
   * one that was. The last change stands for all before it, as an owner builds on committed
   * versions only.
   */
  public boolean isCommittedIn(StoredConfiguration committed) {
    if (changes.isEmpty()) {
      return false;
    }
    ConfigurationChange last = changes.get(changes.size() - 1);
    return committed.changes().stream().anyMatch(change -> AppliedChanges.isSame(change, last));
  }
}
