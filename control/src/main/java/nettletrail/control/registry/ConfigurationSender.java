package nettletrail.control.registry;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import nettletrail.protocol.ConfigurationChunk;
import nettletrail.protocol.ConfigurationFetch;

/**
 * The newest committed configurations, cut into chunks for doors. Some older ones are retained, so
 * that a door on a slow link can complete one while newer ones follow quickly.
 */
final class ConfigurationSender {
  /** A chunk delays a heartbeat or a grant behind it by less than 40 ms at 7 Mbit/s. */
  static final int CHUNK_BYTES = 32 << 10;

  private static final int MAX_RETAINED = 8;

  private final Map<Long, Configuration> bySequence = new LinkedHashMap<>();
  private Configuration newest;

  /** The first sequence from which on the document has been the same. */
  private long documentUnchangedSince;

  private record Configuration(long sequence, long edition, ByteBuffer document) {}

  /** A newer configuration is committed; of the same edition if only the group has changed. */
  void committed(long sequence, long edition, ByteBuffer document) {
    if (newest == null || newest.edition() != edition) {
      documentUnchangedSince = sequence;
    }
    newest = new Configuration(sequence, edition, document);
    bySequence.put(sequence, newest);
    if (bySequence.size() > MAX_RETAINED) {
      bySequence.remove(bySequence.keySet().iterator().next());
    }
  }

  /** The newest sequence, 0 for none. */
  long sequence() {
    return newest == null ? 0 : newest.sequence();
  }

  /**
   * The first chunk of the newest document for a door with this sequence, or an empty chunk with
   * the newest sequence only if the door already has the document. Requires {@link #sequence} > 0.
   */
  ConfigurationChunk firstChunk(long doorSequence) {
    boolean sameDocument = doorSequence >= documentUnchangedSince;
    if (sameDocument) {
      return new ConfigurationChunk(
          newest.sequence(), newest.edition(), 0, 0, ByteBuffer.allocate(0));
    }
    return chunk(newest, 0);
  }

  /**
   * The chunk that a door requested; if the configuration is no longer retained or the offset is
   * outside of it, as {@link #firstChunk}.
   */
  ConfigurationChunk requestedChunk(ConfigurationFetch fetch, long doorSequence) {
    Configuration requested = bySequence.get(fetch.getSequence());
    int offset = fetch.getOffset();
    boolean available =
        requested != null && offset >= 0 && offset < requested.document().remaining();
    return available ? chunk(requested, offset) : firstChunk(doorSequence);
  }

  private static ConfigurationChunk chunk(Configuration configuration, int offset) {
    int size = configuration.document().remaining();
    int length = Math.min(CHUNK_BYTES, size - offset);
    ByteBuffer content = configuration.document().slice(offset, length);
    return new ConfigurationChunk(
        configuration.sequence(), configuration.edition(), size, offset, content);
  }
}
