package nettletrail.router;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.OptionalLong;

/**
 * Tracks the incomplete request of a connection: bytes of a head that is not decoded yet, or a head
 * whose body is not complete. Stands between the decoder and the aggregator and passes all messages
 * on unchanged.
 */
final class PartialRequestTracker extends ChannelInboundHandlerAdapter {
  /** Looks up deadlines of requests; empty for one without a route. */
  interface DeadlineSource {
    /**
     * The deadline of a request, in ns of the steady clock.
     *
     * @param arrivedAt when its head was decoded
     */
    OptionalLong deadline(HttpRequest head, long arrivedAt);
  }

  private HttpRequest head;
  private long headArrivedAt;

  /** When the first bytes of an undecoded request were read, ns; 0 if there are none. */
  private long firstBytesAt;

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpRequest request) {
      head = request;
      headArrivedAt = System.nanoTime();
    }
    boolean complete = message instanceof LastHttpContent;
    context.fireChannelRead(message);
    if (complete) {
      head = null;
    }
  }

  /** When the latest head was decoded, ns. */
  long headArrivedAt() {
    return headArrivedAt;
  }

  /** Bytes were read that completed no request, with no request in progress before them. */
  void bytesRead() {
    if (firstBytesAt == 0) {
      firstBytesAt = System.nanoTime();
    }
  }

  /** A request is complete, or a response was written: the time for the next head starts anew. */
  void resetFirstBytes() {
    firstBytesAt = 0;
  }

  /** Whether a part of a request was read. */
  boolean hasPartialRequest() {
    return firstBytesAt != 0 || head != null;
  }

  /**
   * Whether the rest of the request takes too long: its head more than {@code timeoutNanos}, or its
   * body until after its deadline.
   */
  boolean isOverdue(long now, long timeoutNanos, DeadlineSource deadlines) {
    if (firstBytesAt != 0 && now - firstBytesAt > timeoutNanos) {
      return true;
    }
    if (head == null) {
      return false;
    }
    OptionalLong deadline = deadlines.deadline(head, headArrivedAt);
    return deadline.isPresent() && now - deadline.getAsLong() > 0;
  }
}
