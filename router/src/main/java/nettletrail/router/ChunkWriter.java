package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/** Gathers bytes of a body and frames them as one chunk (RFC 9112 section 7.1), in one buffer. */
final class ChunkWriter {
  private static final byte[] HEX =
      "0123456789abcdef".getBytes(java.nio.charset.StandardCharsets.US_ASCII);

  private static final int DIGIT_MASK = 0xF;
  private static final int DIGIT_BITS = 4;

  /** Room for the size in hex and its line end. */
  private static final int SIZE_LINE_BYTES = 10;

  private static final int END_BYTES = 2;

  private ByteBuf buffer;

  /** Adds bytes; the source's indices are not moved. */
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

  /** The chunk, or null if nothing was added; the caller's from now on. */
  ByteBuf take() {
    ByteBuf chunk = buffer;
    buffer = null;
    if (chunk == null) {
      return null;
    }
    int left = chunk.readableBytes() - SIZE_LINE_BYTES;
    int at = SIZE_LINE_BYTES;
    chunk.setByte(--at, '\n');
    chunk.setByte(--at, '\r');
    do {
      chunk.setByte(--at, HEX[left & DIGIT_MASK]);
      left >>>= DIGIT_BITS;
    } while (left > 0);
    chunk.readerIndex(at);
    chunk.writeByte('\r').writeByte('\n');
    return chunk;
  }

  /** Drops what was added. */
  void drop() {
    if (buffer != null) {
      buffer.release();
      buffer = null;
    }
  }
}
