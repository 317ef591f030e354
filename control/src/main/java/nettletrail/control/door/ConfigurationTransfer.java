package nettletrail.control.door;

import java.nio.ByteBuffer;
import nettletrail.protocol.ConfigurationChunk;

/**
 * The configuration that is on its way to this door, in pieces. The pieces of one sequence are the
 * same whichever core process sends them, so another one can go on where the first one stopped.
 *
 * <p>A newer sequence that begins replaces an older one that isn't whole. Times are steady
 * nanoseconds.
 */
final class ConfigurationTransfer {
  /** A document that claims to be longer is not taken. */
  private static final int LONGEST = 32 << 20;

  private long sequence;
  private long edition;
  private byte[] content;
  private int received;
  private long progressAt;

  /**
   * Takes a piece; one that doesn't join what was received is left.
   *
   * @param held the newest sequence that the door holds whole
   * @return whether it brought the document on
   */
  boolean take(ConfigurationChunk chunk, long held, long now) {
    boolean begins = chunk.getOffset() == 0 && chunk.getSequence() > Math.max(held, sequence());
    if (begins && isSizeValid(chunk)) {
      sequence = chunk.getSequence();
      edition = chunk.getEdition();
      content = new byte[chunk.getSize()];
      received = 0;
    }
    ByteBuffer piece = chunk.getContent().duplicate();
    boolean joins =
        content != null
            && chunk.getSequence() == sequence
            && chunk.getOffset() == received
            && piece.remaining() <= content.length - received;
    if (!joins || !piece.hasRemaining()) {
      return false;
    }
    int length = piece.remaining();
    piece.get(content, received, length);
    received += length;
    progressAt = now;
    return true;
  }

  private static boolean isSizeValid(ConfigurationChunk chunk) {
    return chunk.getSize() > 0 && chunk.getSize() <= LONGEST;
  }

  /** Whether all pieces are there. */
  boolean isComplete() {
    return content != null && received == content.length;
  }

  /** Whether the document began to come and isn't whole. */
  boolean isUnderWay() {
    return content != null && !isComplete();
  }

  /** Hands out the whole document, after which nothing is on its way. */
  PendingConfiguration finish() {
    PendingConfiguration complete =
        new PendingConfiguration(sequence, edition, ByteBuffer.wrap(content).asReadOnlyBuffer());
    content = null;
    return complete;
  }

  /** Forgets what is on its way, since the door holds something as new. */
  void abandonUpTo(long heldSequence) {
    if (sequence <= heldSequence) {
      content = null;
    }
  }

  /** The sequence on its way, 0 for none. */
  long sequence() {
    return isUnderWay() ? sequence : 0;
  }

  /** How many bytes of it have come, 0 for none. */
  int offset() {
    return isUnderWay() ? received : 0;
  }

  /** When the last piece came; of use only while a document is under way. */
  long progressAt() {
    return progressAt;
  }
}
