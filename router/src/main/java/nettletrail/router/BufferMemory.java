package nettletrail.router;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;

/**
 * The memory that a router holds for its clients: bodies of requests, complete or not, responses
 * and what slow clients haven't read yet. It comes from an allocator of its own, so that it is
 * measured, whoever holds it, and links to the core, readiness checks and metrics don't share it.
 *
 * <p>A body is admitted, before it is read, only if there is room for all of it beside what is held
 * and what admitted bodies still lack. A quarter of the room is kept for small bodies. On the event
 * loop.
 */
final class BufferMemory {
  /** A body up to this size counts as small. */
  static final int SMALL_BODY_BYTES = 16 << 10;

  /** What bodies may take that aren't small; the buffers that hold them fill at least this part. */
  static final double SHARE_OF_LARGE_BODIES = 0.75;

  /** Responses may take this much beyond the limit, since their requests have run. */
  private static final double RESPONSE_ALLOWANCE = 0.5;

  private final PooledByteBufAllocator allocator = new PooledByteBufAllocator(true);
  private final long maxBytes;

  /** Bytes of admitted bodies that haven't arrived yet. */
  private long expectedBytes;

  /**
   * @param maxBytes to hold; less than half of the process's direct memory, since buffers are
   *     allocated in chunks
   */
  BufferMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** The allocator of clients' channels. */
  ByteBufAllocator allocator() {
    return allocator;
  }

  /** Bytes of buffers that are in use. */
  long heldBytes() {
    return allocator.pinnedDirectMemory();
  }

  /** Bytes of admitted bodies that haven't arrived yet. */
  long expectedBytes() {
    return expectedBytes;
  }

  /**
   * Admits a body of this length if there is room for it.
   *
   * @return whether it is admitted; then all its bytes are to be passed to {@link
   *     #noLongerExpected}
   */
  boolean admit(long bytes) {
    if (!hasRoomFor(bytes, bytes)) {
      return false;
    }
    expectedBytes += bytes;
    return true;
  }

  /**
   * Whether there is room for more bytes of a body.
   *
   * @param bodyBytes length of the body with them
   */
  boolean hasRoomFor(long bytes, long bodyBytes) {
    boolean isSmall = bodyBytes <= SMALL_BODY_BYTES;
    double room = isSmall ? maxBytes : maxBytes * SHARE_OF_LARGE_BODIES;
    return heldBytes() + expectedBytes + bytes <= room;
  }

  /** Bytes of an admitted body have arrived, or won't arrive any more. */
  void noLongerExpected(long bytes) {
    expectedBytes -= bytes;
  }

  /** Whether a response can't be buffered any further. */
  boolean isExhaustedForResponses() {
    return heldBytes() > maxBytes * (1 + RESPONSE_ALLOWANCE);
  }
}
