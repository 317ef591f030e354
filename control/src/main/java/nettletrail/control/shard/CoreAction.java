package nettletrail.control.shard;

import java.nio.ByteBuffer;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import org.apache.avro.specific.SpecificRecord;

/** What {@link CoreShards} asks its process to do. */
public sealed interface CoreAction {

  /** The {@code validUntil} of what stays true however late it is said. */
  long ALWAYS = Long.MAX_VALUE;

  /**
   * Send a message to the core process at that address; it may be lost, not reordered within one
   * connection.
   *
   * @param validUntil steady instant from which on it is dropped instead: what it rests on, as the
   *     owner's lease, has ended by then
   */
  record Send(String address, SpecificRecord message, long validUntil) implements CoreAction {
    /** A message that may leave at any time. */
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
   * @param edition the edition in force, empty if unknown
   * @param body JSON
   * @param validUntil steady instant from which on the call is answered with 503 instead: what the
   *     answer rests on, as the owner's lease, has ended by then
   */
  record AnswerOperator(long call, int status, String edition, byte[] body, long validUntil)
      implements CoreAction {}

  /**
   * A newer configuration is known to be committed; the sequence grows for the whole life of the
   * process.
   *
   * @param document the JSON text; not to be changed
   * @param storedDocument the same as it is stored and sent to doors; to be read only
   */
  record CommittedConfiguration(
      long sequence, long edition, byte[] document, ByteBuffer storedDocument)
      implements CoreAction {}
}
