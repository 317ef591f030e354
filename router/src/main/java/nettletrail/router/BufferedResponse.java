package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;

/** A response that is forwarded once it is complete. */
final class BufferedResponse implements ResponseRelay {
  /** A larger one counts as invalid. */
  static final int MAX_BYTES = 4 << 20;

  private final HttpResponse head;
  private final ByteBufAllocator allocator;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private boolean tooLarge;

  BufferedResponse(HttpResponse head, ByteBufAllocator allocator) {
    this.head = head;
    this.allocator = allocator;
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
    if (tooLarge || body.readableBytes() + size > MAX_BYTES) {
      tooLarge = true;
      return;
    }
    if (body == Unpooled.EMPTY_BUFFER) {
      body = allocator.buffer(size);
    }
    body.writeBytes(content, content.readerIndex(), size);
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
