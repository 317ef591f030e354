package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;

/** A response that is forwarded once it is complete. */
final class BufferedResponse implements ResponseRelay {
  /** A larger one counts as invalid. */
  static final int MAX_BYTES = 4 << 20;

  private final HttpResponse head;
  private final BufferMemory memory;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private boolean tooLarge;

  BufferedResponse(HttpResponse head, BufferMemory memory) {
    this.head = head;
    this.memory = memory;
  }

  HttpResponse head() {
    return head;
  }

  /** The body so far; released by {@link #release}. */
  ByteBuf body() {
    return body;
  }

  boolean isTooLarge() {
    return tooLarge;
  }

  @Override
  public void content(ByteBuf content) {
    int size = content.readableBytes();
    if (tooLarge || !hasRoomFor(size)) {
      tooLarge = true;
      return;
    }
    if (body == Unpooled.EMPTY_BUFFER) {
      body = memory.allocator().buffer(size);
    }
    body.writeBytes(content, content.readerIndex(), size);
  }

  private boolean hasRoomFor(int size) {
    int bytes = body.readableBytes() + size;
    boolean isSmall = bytes <= BufferMemory.SMALL_BODY_BYTES;
    return bytes <= MAX_BYTES && (isSmall || !memory.isExhaustedForResponses());
  }

  @Override
  public void flush() {}

  @Override
  public long resumeAfter() {
    return -1;
  }

  @Override
  public boolean hasBegun() {
    return false;
  }

  @Override
  public long events() {
    return 0;
  }

  @Override
  public void release() {
    body.release();
    body = Unpooled.EMPTY_BUFFER;
  }
}
