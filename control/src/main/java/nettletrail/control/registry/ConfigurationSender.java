package nettletrail.control.registry;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import nettletrail.protocol.ConfigurationChunk;
import nettletrail.protocol.ConfigurationFetch;

/**
 * The newest committed configurations in pieces for doors. A few older ones are kept, so that a
 * door on a thin link can finish one while newer ones follow quickly.
 */
final class ConfigurationSender {
  /** A piece holds up a heartbeat or a grant behind it for less than 40 ms at 7 Mbit/s. */
  static final int CHUNK_BYTES = 32 << 10;

  private static final int MAX_KEPT = 8;

  private final Map<Long, Kept> keptBySequence = new LinkedHashMap<>();
  private Kept newest;

  /** Since which sequence the document is the same. */
  private long documentSince;

  private record Kept(long sequence, long edition, ByteBuffer document) {}

  /** A newer configuration is committed; of the same edition if only the group has changed. */
  void committed(long sequence, long edition, ByteBuffer document) {
    if (newest == null || newest.edition() != edition) {
      documentSince = sequence;
    }
    newest = new Kept(sequence, edition, document);
    keptBySequence.put(sequence, newest);
    if (keptBySequence.size() > MAX_KEPT) {
      keptBySequence.remove(keptBySequence.keySet().iterator().next());
    }
  }

  /** The newest sequence, 0 for none. */
  long sequence() {
    return newest == null ? 0 : newest.sequence();
  }

  /**
   * What brings on a door that holds this sequence: the beginning of the newest document, or only
   * its sequence where the document is the same.
   */
  ConfigurationChunk first(long heldSequence) {
    boolean sameDocument = heldSequence >= documentSince;
    if (sameDocument) {
      return new ConfigurationChunk(
          newest.sequence(), newest.edition(), 0, 0, ByteBuffer.allocate(0));
    }
    return piece(newest, 0);
  }

  /** The piece that a door asked for; the beginning of the newest document where it can't be. */
  ConfigurationChunk answer(ConfigurationFetch fetch, long heldSequence) {
    Kept asked = keptBySequence.get(fetch.getSequence());
    boolean known =
        asked != null && fetch.getOffset() >= 0 && fetch.getOffset() < asked.document().remaining();
    return known ? piece(asked, fetch.getOffset()) : first(heldSequence);
  }

  private static ConfigurationChunk piece(Kept kept, int offset) {
    int size = kept.document().remaining();
    int length = Math.min(CHUNK_BYTES, size - offset);
    ByteBuffer content = kept.document().slice(offset, length);
    return new ConfigurationChunk(kept.sequence(), kept.edition(), size, offset, content);
  }
}
