package nettletrail.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The head of an outgoing HTTP message (RFC 9112), encoded into one buffer. Outgoing messages have
 * the same few headers each time, and Netty's general encoder took a tenth of the CPU time of a
 * request. Nothing is validated: the values are the process's own or were checked by a decoder.
 */
public final class HeadBytes {
  /** Up to this size a body is copied behind its head: the copy costs less than a second buffer. */
  private static final int MAX_COPIED_BODY_BYTES = 2 << 10;

  private static final int MAX_DIGITS = 20;

  private byte[] bytes;
  private int length;

  /**
   * @param expectedBytes the initial capacity, which grows as needed
   */
  public HeadBytes(int expectedBytes) {
    bytes = new byte[expectedBytes];
  }

  /** Encodes a text as ISO 8859-1, the form in which heads are written. */
  public static byte[] constant(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /**
   * @param part appended as it is
   */
  public HeadBytes add(byte[] part) {
    ensureCapacity(part.length);
    System.arraycopy(part, 0, bytes, length, part.length);
    length += part.length;
    return this;
  }

  /**
   * @param text encoded as ISO 8859-1, one byte for each character, as a decoder reads it
   */
  public HeadBytes add(String text) {
    return add(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /**
   * @param number written in decimal; not negative
   */
  public HeadBytes add(long number) {
    ensureCapacity(MAX_DIGITS);
    int digits = 1;
    for (long remaining = number / 10; remaining > 0; remaining /= 10) {
      digits++;
    }
    length += digits;
    long remaining = number;
    for (int index = length - 1; digits > 0; digits--) {
      bytes[index--] = (byte) ('0' + remaining % 10);
      remaining /= 10;
    }
    return this;
  }

  private void ensureCapacity(int additionalBytes) {
    if (length + additionalBytes > bytes.length) {
      bytes = Arrays.copyOf(bytes, 2 * bytes.length + additionalBytes);
    }
  }

  /**
   * Writes and flushes the head and the body.
   *
   * @param context the context behind which no handler encodes HTTP, so that only bytes are written
   * @param body not released here; the caller may release it once this has returned
   * @param promise completes when the last byte is written
   */
  public ChannelFuture writeTo(
      ChannelHandlerContext context, ByteBuf body, ChannelPromise promise) {
    int size = body.readableBytes();
    boolean copyBody = size <= MAX_COPIED_BODY_BYTES;
    Channel channel = context.channel();
    ByteBufAllocator allocator = channel.alloc();
    ByteBuf out = allocator.ioBuffer(length + (copyBody ? size : 0)).writeBytes(bytes, 0, length);
    if (copyBody) {
      if (size > 0) {
        out.writeBytes(body, body.readerIndex(), size);
      }
      return context.writeAndFlush(out, promise);
    }
    context.write(out, channel.voidPromise());
    return context.writeAndFlush(body.retainedDuplicate(), promise);
  }
}
