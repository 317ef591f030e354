package nettletrail.control;

import java.util.List;
import java.util.OptionalLong;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;

/**
 * What the registry and the grants need to know of the replicated shards. Called on the control
 * thread only.
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

  /** The address of the shard's owner as this process knows it, empty where it knows none. */
  String ownerAddress(int shard);

  /** The core processes, this one included. */
  List<Member> members();

  /** How many shards there are, the configuration's included. */
  int shardCount();

  /**
   * The steady instant, in nanoseconds, at which a majority confirmed that the committed
   * configuration which this process holds is the newest; empty before the first time.
   */
  OptionalLong confirmedAt();

  /** The sequence of the newest committed configuration that this process holds, 0 for none. */
  long configurationSequence();
}
