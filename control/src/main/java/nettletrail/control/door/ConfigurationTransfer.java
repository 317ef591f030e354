package nettletrail.control.door;

import java.nio.ByteBuffer;
import nettletrail.protocol.ConfigurationChunk;

/**
 * Assembles a configuration from its chunks. The chunks of one sequence are the same whichever core
 * process sends them, so another one can continue where the first one stopped.
 *
 * <p>The first chunk of a newer sequence replaces an older one that isn't complete. Instants are
 * nanoseconds of the steady clock.
 */
final class ConfigurationTransfer {
  /** A document that claims to be longer is rejected. */
  private static final int MAX_DOCUMENT_BYTES = 32 << 20;

  private long sequence;
  private long edition;
  private byte[] content;
  private int received;
  private long lastProgressAt;

  /**
   * Appends a chunk; one that doesn't continue what was received is dropped.
   *
   * @param newestSequence the newest sequence that the door has received completely
   * @return whether the chunk added content
   */
  boolean append(ConfigurationChunk chunk, long newestSequence, long now) {
    if (isStart(chunk, newestSequence)) {
      start(chunk);
    }
    ByteBuffer chunkContent = chunk.getContent().duplicate();
    int length = chunkContent.remaining();
    if (length == 0 || !continuesAt(chunk, length)) {
      return false;
    }
    chunkContent.get(content, received, length);
    received += length;
    lastProgressAt = now;
    return true;
  }

  private boolean isStart(ConfigurationChunk chunk, long newestSequence) {
    return chunk.getOffset() == 0
        && chunk.getSequence() > Math.max(newestSequence, sequence())
        && chunk.getSize() > 0
        && chunk.getSize() <= MAX_DOCUMENT_BYTES;
  }

  private void start(ConfigurationChunk chunk) {
    sequence = chunk.getSequence();
    edition = chunk.getEdition();
    content = new byte[chunk.getSize()];
    received = 0;
  }

  private boolean continuesAt(ConfigurationChunk chunk, int length) {
    return content != null
        && chunk.getSequence() == sequence
        && chunk.getOffset() == received
        && length <= content.length - received;
  }

  /** Whether all chunks have arrived and {@link #finish} wasn't called yet. */
  boolean isComplete() {
    return content != null && received == content.length;
  }

  /** Whether some chunks have arrived and others are missing. */
  boolean isInProgress() {
    return content != null && !isComplete();
  }

  /** Returns the complete document; requires {@link #isComplete}. */
  PendingConfiguration finish() {
    PendingConfiguration complete =
        new PendingConfiguration(sequence, edition, ByteBuffer.wrap(content).asReadOnlyBuffer());
    content = null;
    return complete;
  }

  /** Drops a document in progress that isn't newer than this sequence. */
  void abandonUpTo(long newestSequence) {
    if (sequence <= newestSequence) {
      content = null;
    }
  }

  /** The sequence in progress, 0 for none. */
  long sequence() {
    return isInProgress() ? sequence : 0;
  }

  /** How many bytes of the document in progress have arrived, 0 for none. */
  int offset() {
    return isInProgress() ? received : 0;
  }

  /** When the last chunk arrived; defined only while a document is in progress. */
  long lastProgressAt() {
    return lastProgressAt;
  }
}
