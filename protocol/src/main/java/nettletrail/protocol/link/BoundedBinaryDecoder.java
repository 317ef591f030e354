package nettletrail.protocol.link;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.apache.avro.io.Decoder;
import org.apache.avro.util.Utf8;

/**
 * Decodes Avro's binary encoding (Avro 1.12 specification, "Binary Encoding") straight from a
 * frame's buffer.
 *
 * <p>Avro's own decoder allocates whatever length the bytes name before it checks that they are
 * there. This one checks every length and count against the rest of the frame, so that a malformed
 * frame never costs much more memory than its own length. A read beyond the end of the frame throws
 * {@link IndexOutOfBoundsException}, as {@link ByteBuf} does.
 *
 * <p>The frame is neither retained nor released. Not safe for several threads.
 */
final class BoundedBinaryDecoder extends Decoder {
  private static final int MAX_VARINT_BYTES = 10;
  private static final int PAYLOAD_BITS = 7;
  private static final int PAYLOAD_MASK = 0x7f;

  private ByteBuf frame;

  /** Reads from this frame from now on; null forgets the last one. */
  void setFrame(ByteBuf frame) {
    this.frame = frame;
  }

  /** Whether the frame was read to its end. */
  boolean isEnd() {
    return !frame.isReadable();
  }

  @Override
  public void readNull() {
    // A null takes no bytes.
  }

  @Override
  public boolean readBoolean() {
    return frame.readByte() == 1;
  }

  @Override
  public int readInt() throws IOException {
    long value = readLong();
    if (value != (int) value) {
      throw new IOException("a number is too large for an int: " + value);
    }
    return (int) value;
  }

  @Override
  public long readLong() throws IOException {
    long zigZag = 0;
    for (int index = 0; index < MAX_VARINT_BYTES; index++) {
      byte next = frame.readByte();
      zigZag |= (long) (next & PAYLOAD_MASK) << (index * PAYLOAD_BITS);
      if (next >= 0) {
        return (zigZag >>> 1) ^ -(zigZag & 1);
      }
    }
    throw new IOException("a number of more than " + MAX_VARINT_BYTES + " bytes");
  }

  @Override
  public float readFloat() {
    return frame.readFloatLE();
  }

  @Override
  public double readDouble() {
    return frame.readDoubleLE();
  }

  @Override
  public Utf8 readString(Utf8 old) throws IOException {
    return new Utf8(readString());
  }

  @Override
  public String readString() throws IOException {
    int length = readLength();
    return frame.readCharSequence(length, StandardCharsets.UTF_8).toString();
  }

  @Override
  public void skipString() throws IOException {
    skipBytes();
  }

  @Override
  public ByteBuffer readBytes(ByteBuffer old) throws IOException {
    byte[] bytes = new byte[readLength()];
    frame.readBytes(bytes);
    return ByteBuffer.wrap(bytes);
  }

  @Override
  public void skipBytes() throws IOException {
    frame.skipBytes(readLength());
  }

  @Override
  public void readFixed(byte[] bytes, int start, int length) {
    frame.readBytes(bytes, start, length);
  }

  @Override
  public void skipFixed(int length) {
    frame.skipBytes(length);
  }

  @Override
  public int readEnum() throws IOException {
    return readInt();
  }

  @Override
  public long readArrayStart() throws IOException {
    return readBlockCount();
  }

  @Override
  public long arrayNext() throws IOException {
    return readBlockCount();
  }

  @Override
  public long skipArray() throws IOException {
    return skipBlocks();
  }

  @Override
  public long readMapStart() throws IOException {
    return readBlockCount();
  }

  @Override
  public long mapNext() throws IOException {
    return readBlockCount();
  }

  @Override
  public long skipMap() throws IOException {
    return skipBlocks();
  }

  @Override
  public int readIndex() throws IOException {
    return readInt();
  }

  private int readLength() throws IOException {
    long length = readLong();
    requireInFrame(length);
    return (int) length;
  }

  /**
   * The number of items in the next block; 0 at the end. Every item takes at least one byte, since
   * the schema has no empty record, so a count above the bytes left is malformed.
   */
  private long readBlockCount() throws IOException {
    long count = readLong();
    if (count < 0) {
      // A negative count is followed by the size of the block in bytes, which only a skip needs.
      readLong();
      count = -count;
    }
    requireInFrame(count);
    return count;
  }

  /**
   * Skips the blocks that state their size in bytes.
   *
   * @return the number of items of the first block that doesn't, which the caller has to skip one
   *     by one; 0 at the end
   */
  private long skipBlocks() throws IOException {
    long count = readLong();
    while (count < 0) {
      frame.skipBytes(readLength());
      count = readLong();
    }
    requireInFrame(count);
    return count;
  }

  private void requireInFrame(long length) throws IOException {
    if (length < 0 || length > frame.readableBytes()) {
      throw new IOException(
          "a length of " + length + " with " + frame.readableBytes() + " bytes left");
    }
  }
}
