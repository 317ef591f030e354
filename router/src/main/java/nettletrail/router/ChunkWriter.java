package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/** Collects bytes of a body and frames them as one chunk (RFC 9112, section 7.1). */
final class ChunkWriter {
  private static final byte[] HEX =
      "0123456789abcdef".getBytes(java.nio.charset.StandardCharsets.US_ASCII);

  private static final int DIGIT_MASK = 0xF;
  private static final int DIGIT_BITS = 4;

  /** Space for the size in hexadecimal digits and its line end. */
  private static final int SIZE_LINE_BYTES = 10;

  private static final int END_BYTES = 2;

  private ByteBuf buffer;

  /** Adds bytes; the source's indices don't change. */
  void add(ByteBufAllocator allocator, ByteBuf source, int from, int length) {
    if (buffer == null) {
      buffer = allocator.ioBuffer(SIZE_LINE_BYTES + length + END_BYTES);
      buffer.writeZero(SIZE_LINE_BYTES);
    }
    buffer.writeBytes(source, from, length);
  }

  boolean isEmpty() {
    return buffer == null;
  }

  /** Removes the framed chunk, which the caller releases; null if it is empty. */
  ByteBuf poll() {
    ByteBuf chunk = buffer;
    buffer = null;
    if (chunk == null) {
      return null;
    }
    int remaining = chunk.readableBytes() - SIZE_LINE_BYTES;
    int start = SIZE_LINE_BYTES;
    chunk.setByte(--start, '\n');
    chunk.setByte(--start, '\r');
    do {
      chunk.setByte(--start, HEX[remaining & DIGIT_MASK]);
      remaining >>>= DIGIT_BITS;
    } while (remaining > 0);
    chunk.readerIndex(start);
    chunk.writeByte('\r').writeByte('\n');
    return chunk;
  }

  /** Releases the added bytes. */
  void drop() {
    if (buffer != null) {
      buffer.release();
      buffer = null;
    }
  }
}
