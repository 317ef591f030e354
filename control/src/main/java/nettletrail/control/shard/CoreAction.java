package nettletrail.control.shard;

import java.nio.ByteBuffer;
import java.util.List;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import org.apache.avro.specific.SpecificRecord;

/** What {@link CoreShards} asks its process to do. */
public sealed interface CoreAction {

  /** The {@code validUntil} of a message or answer that holds however late it is sent. */
  long ALWAYS = Long.MAX_VALUE;

  /**
   * Send a message to the core process at that address. It may be lost; messages to one address are
   * not reordered within a connection.
   *
   * @param validUntil steady instant from which on the message is to be dropped, in nanoseconds:
   *     what it relies on, such as the owner's lease, has ended by then
   */
  record Send(String address, SpecificRecord message, long validUntil) implements CoreAction {
    /** A message that holds however late it is sent. */
    Send(String address, SpecificRecord message) {
      this(address, message, ALWAYS);
    }
  }

  /**
   * Make a promise durable, in the order of the tickets of its shard, then call {@link
   * CoreShards#stored}.
   */
  record StorePromise(long ticket, int shard, ProposalNumber proposal) implements CoreAction {}

  /**
   * Make a version durable, in the order of the tickets of its shard, then call {@link
   * CoreShards#stored}.
   */
  record StoreVersion(long ticket, int shard, ShardVersion version) implements CoreAction {}

  /**
   * Answer an operator's call.
   *
   * @param call as given to {@link CoreShards#submit}
   * @param status the HTTP status
   * @param edition the active edition, empty if unknown
   * @param body JSON
   * @param validUntil steady instant from which on the call is answered with 503 instead, in
   *     nanoseconds: what the answer relies on, such as the owner's lease, has ended by then
   */
  record AnswerOperator(long call, int status, String edition, byte[] body, long validUntil)
      implements CoreAction {}

  /**
   * This process, as a shard's owner, has committed another replica group.
   *
   * @param member the identity that was added or removed
   * @param size how many members there are now
   */
  record GroupChanged(int shard, GroupChange.Kind kind, String member, int size)
      implements CoreAction {}

  /**
   * This process has founded the groups of all shards, since the first start of the system was cut
   * short; see {@link BootstrapRecovery}.
   */
  record GroupsFounded(List<Member> members) implements CoreAction {
    /** Copies the list. */
    public GroupsFounded {
      members = List.copyOf(members);
    }
  }

  /**
   * This process has known no group of the core for some seconds since its start; reported once.
   *
   * @param silentSeeds the seeds that don't answer
   * @param foundedElsewhere true if another group, or a door with a configuration, was heard of
   */
  record GroupMissing(List<String> silentSeeds, boolean foundedElsewhere) implements CoreAction {
    /** Copies the list. */
    public GroupMissing {
      silentSeeds = List.copyOf(silentSeeds);
    }
  }

  /**
   * A newer configuration is known to be committed; the sequence only grows within one incarnation
   * of the process.
   *
   * @param document the JSON text; not to be changed
   * @param storedDocument the same as it is stored and sent to doors; to be read only
   */
  record CommittedConfiguration(
      long sequence, long edition, byte[] document, ByteBuffer storedDocument)
      implements CoreAction {}
}
