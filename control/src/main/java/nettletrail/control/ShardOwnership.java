package nettletrail.control;

import java.util.List;
import java.util.OptionalLong;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;

/**
 * The state of the replicated shards that the registry and the grants depend on. Called by the
 * control thread only.
 */
public interface ShardOwnership {
  /**
   * Whether this process holds the owner's lease of the shard at {@code now} (steady clock,
   * nanoseconds).
   */
  boolean owns(int shard, long now);

  /**
   * The fencing token under which this process owns the shard; changes whenever the shard is won
   * again.
   */
  ProposalNumber token(int shard);

  /** The address of the shard's owner as far as this process knows; empty if it knows none. */
  String ownerAddress(int shard);

  /** The core processes, this one included. */
  List<Member> members();

  /** How many shards there are, the configuration's included. */
  int shardCount();

  /**
   * The steady instant, in nanoseconds, at which a majority confirmed that the committed
   * configuration of this process is the newest; empty before the first time.
   */
  OptionalLong confirmedAt();

  /** The sequence of the newest committed configuration that this process has, 0 for none. */
  long configurationSequence();
}
