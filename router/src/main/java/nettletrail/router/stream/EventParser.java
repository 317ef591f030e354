package nettletrail.router.stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import nettletrail.router.text.DecimalNumber;

/**
 * Cuts a backend's event stream ({@code text/event-stream}) into whole events. What came of an
 * event that is not yet whole is kept here until its end comes; if the backend breaks off, it is
 * dropped and never reaches the client.
 *
 * <p>An event ends with an empty line, whose line ends may be LF, CRLF or CR LF mixed. Not for
 * several threads.
 */
public final class EventParser implements AutoCloseable {
  /** An event that is larger is no event of ours: what comes is not kept beyond that. */
  static final int MAX_EVENT_BYTES = 256 << 10;

  private static final int MIN_BUFFER_BYTES = 256;
  private static final byte LF = '\n';
  private static final byte CR = '\r';
  private static final byte[] ID = {'i', 'd', ':'};

  /** Takes whole events, in their order. */
  public interface Sink {
    /**
     * One whole event, its empty line included.
     *
     * @param id the number in its id field, or -1 if it has none
     * @param source holds the event's bytes; the callee does not release it and does not move its
     *     indices
     * @param from where the event begins
     * @param length its bytes
     */
    void event(long id, ByteBuf source, int from, int length);
  }

  private final ByteBufAllocator allocator;
  private ByteBuf partial;

  /**
   * @param allocator of the buffer for an event that is not yet whole
   */
  public EventParser(ByteBufAllocator allocator) {
    this.allocator = allocator;
  }

  /**
   * Takes what came next.
   *
   * @param bytes not released here, and read to its end
   * @return false if an event is larger than any may be
   */
  public boolean read(ByteBuf bytes, Sink sink) {
    if (partial == null) {
      int end = emit(bytes, bytes.readerIndex(), sink);
      bytes.readerIndex(end);
      return !bytes.isReadable() || keep(bytes);
    }
    if (!keep(bytes)) {
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

  private boolean keep(ByteBuf bytes) {
    int size = bytes.readableBytes();
    int kept = partial == null ? 0 : partial.readableBytes();
    if (kept + size > MAX_EVENT_BYTES) {
      return false;
    }
    if (partial == null) {
      partial = allocator.buffer(Math.max(size, MIN_BUFFER_BYTES));
    }
    partial.writeBytes(bytes);
    return true;
  }

  /** Gives all whole events from there on and returns where the rest begins. */
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
        sink.event(id, in, event, end + 1 - event);
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

  /** The number in these bytes, spaces before it allowed; -1 if there is none. */
  private static long number(ByteBuf in, int from, int to) {
    int at = from;
    while (at < to && in.getByte(at) == ' ') {
      at++;
    }
    return DecimalNumber.parse(in, at, to);
  }

  /** What came behind the last whole event, or null; still the parser's. */
  public ByteBuf rest() {
    return partial;
  }

  /** Drops what is kept. */
  @Override
  public void close() {
    if (partial != null) {
      partial.release();
      partial = null;
    }
  }
}
