package nettletrail.router.stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import nettletrail.router.text.DecimalNumber;

/**
 * Splits a backend's event stream ({@code text/event-stream}) into complete events. The bytes of an
 * incomplete event are buffered; if the backend's response breaks off, they are dropped and never
 * reach the client.
 *
 * <p>An event ends with an empty line; lines end with LF or CRLF, also mixed. Not thread-safe.
 */
public final class EventParser implements AutoCloseable {
  /** Limit of the buffer; a larger event is an error. */
  static final int MAX_EVENT_BYTES = 256 << 10;

  private static final int MIN_BUFFER_BYTES = 256;
  private static final byte LF = '\n';
  private static final byte CR = '\r';
  private static final byte[] ID = {'i', 'd', ':'};

  /** Receives complete events, in their order. */
  public interface Sink {
    /**
     * One complete event, its empty line included.
     *
     * @param id the number in its id field, or -1 if it has none
     * @param source contains the event's bytes; the callee doesn't release it and doesn't change
     *     its indices
     * @param from index of the event's first byte
     * @param length of the event, in bytes
     */
    void onEvent(long id, ByteBuf source, int from, int length);
  }

  private final ByteBufAllocator allocator;
  private ByteBuf partial;

  /**
   * @param allocator of the buffer for an incomplete event
   */
  public EventParser(ByteBufAllocator allocator) {
    this.allocator = allocator;
  }

  /**
   * Parses the next bytes of the stream.
   *
   * @param bytes read to its end; not released
   * @return false if an event is larger than {@link #MAX_EVENT_BYTES}
   */
  public boolean read(ByteBuf bytes, Sink sink) {
    if (partial == null) {
      int end = emit(bytes, bytes.readerIndex(), sink);
      bytes.readerIndex(end);
      return !bytes.isReadable() || buffer(bytes);
    }
    if (!buffer(bytes)) {
      return false;
    }
    int end = emit(partial, partial.readerIndex(), sink);
    partial.readerIndex(end);
    if (partial.isReadable()) {
      partial.discardReadBytes();
    } else {
      close();
    }
    return true;
  }

  private boolean buffer(ByteBuf bytes) {
    int size = bytes.readableBytes();
    int buffered = partial == null ? 0 : partial.readableBytes();
    if (buffered + size > MAX_EVENT_BYTES) {
      return false;
    }
    if (partial == null) {
      partial = allocator.buffer(Math.max(size, MIN_BUFFER_BYTES));
    }
    partial.writeBytes(bytes);
    return true;
  }

  /** Passes all complete events from the index on; returns the index of the incomplete rest. */
  private static int emit(ByteBuf in, int from, Sink sink) {
    int event = from;
    int line = from;
    long id = -1;
    int to = in.writerIndex();
    while (line < to) {
      int end = in.indexOf(line, to, LF);
      if (end < 0) {
        break;
      }
      int length = end > line && in.getByte(end - 1) == CR ? end - 1 - line : end - line;
      if (length == 0) {
        sink.onEvent(id, in, event, end + 1 - event);
        event = end + 1;
        id = -1;
      } else if (startsWithId(in, line, length)) {
        id = number(in, line + ID.length, line + length);
      }
      line = end + 1;
    }
    return event;
  }

  private static boolean startsWithId(ByteBuf in, int line, int length) {
    return length > ID.length
        && in.getByte(line) == ID[0]
        && in.getByte(line + 1) == ID[1]
        && in.getByte(line + 2) == ID[2];
  }

  /** Parses a number after optional spaces; -1 if there is none. */
  private static long number(ByteBuf in, int from, int to) {
    int start = from;
    while (start < to && in.getByte(start) == ' ') {
      start++;
    }
    return DecimalNumber.parse(in, start, to);
  }

  /** The bytes after the last complete event, or null; owned by the parser. */
  public ByteBuf incompleteEvent() {
    return partial;
  }

  /** Drops the incomplete event. */
  @Override
  public void close() {
    if (partial != null) {
      partial.release();
      partial = null;
    }
  }
}
