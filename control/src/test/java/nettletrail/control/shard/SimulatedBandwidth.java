package nettletrail.control.shard;

import java.util.HashMap;
import java.util.Map;
import nettletrail.protocol.Accept;
import nettletrail.protocol.OrderForward;
import nettletrail.protocol.OrderForwardReply;
import nettletrail.protocol.PrepareReply;
import nettletrail.protocol.ShardVersion;
import nettletrail.protocol.VersionReply;
import org.apache.avro.specific.SpecificRecord;

/**
 * Bandwidth limits of the links of a {@link SimulatedCluster}, and the bytes that they carried. A
 * link is a FIFO queue.
 */
final class SimulatedBandwidth {

  /** About the size of a message that carries no document. */
  private static final long SMALL_MESSAGE_BYTES = 150;

  private static final double NANOS_PER_SECOND = 1e9;

  private final Map<String, Double> bytesPerSecond = new HashMap<>();
  private final Map<String, Long> busyUntil = new HashMap<>();
  private final Map<String, Long> carried = new HashMap<>();
  private final Map<String, Long> longestQueue = new HashMap<>();

  /** Limits one direction of the link between two machines; others are as fast as can be. */
  void limit(String link, double bytesPerSecond) {
    this.bytesPerSecond.put(link, bytesPerSecond);
  }

  /** The instant at which the last byte of the message has left. */
  long transmitted(String link, SpecificRecord message, long now) {
    long size = size(message);
    carried.merge(link, size, Long::sum);
    Double rate = bytesPerSecond.get(link);
    if (rate == null) {
      return now;
    }
    long start = Math.max(now, busyUntil.getOrDefault(link, now));
    longestQueue.merge(link, start - now, Math::max);
    long end = start + (long) (size / rate * NANOS_PER_SECOND);
    busyUntil.put(link, end);
    return end;
  }

  /** The bytes that were sent on a link so far. */
  long carried(String link) {
    return carried.getOrDefault(link, 0L);
  }

  /** The longest time that a message had to wait for those before it on a limited link. */
  long longestQueue(String link) {
    return longestQueue.getOrDefault(link, 0L);
  }

  private static long size(SpecificRecord message) {
    if (message instanceof Accept accept) {
      return size(accept.getVersion());
    } else if (message instanceof PrepareReply reply) {
      return size(reply.getAccepted());
    } else if (message instanceof VersionReply reply) {
      return size(reply.getVersion());
    } else if (message instanceof OrderForward change) {
      return SMALL_MESSAGE_BYTES + change.getBody().remaining();
    } else if (message instanceof OrderForwardReply reply) {
      return SMALL_MESSAGE_BYTES + reply.getBody().remaining();
    }
    return SMALL_MESSAGE_BYTES;
  }

  private static long size(ShardVersion version) {
    return SMALL_MESSAGE_BYTES + (version == null ? 0 : version.getValue().remaining());
  }
}
