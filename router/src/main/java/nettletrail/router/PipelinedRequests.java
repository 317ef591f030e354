package nettletrail.router;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayDeque;

/**
 * The complete requests of a connection that wait for the response to an earlier one (HTTP/1.1
 * pipelining, RFC 9112 section 9.3.2), up to a limit of their number and bytes.
 */
final class PipelinedRequests {
  private static final int MAX_REQUESTS = 16;
  private static final int MAX_BYTES = 512 << 10;

  /**
   * A queued request.
   *
   * @param request released by whoever polls it
   * @param arrivedAt when its head was decoded, ns
   */
  record Pipelined(FullHttpRequest request, long arrivedAt) {}

  private final ArrayDeque<Pipelined> queue = new ArrayDeque<>();
  private int bytes;

  /** Adds a request and takes over its reference. */
  void add(FullHttpRequest request, long arrivedAt) {
    bytes += request.content().readableBytes();
    queue.addLast(new Pipelined(request, arrivedAt));
  }

  /** The oldest request, or null. */
  Pipelined poll() {
    Pipelined next = queue.pollFirst();
    if (next != null) {
      bytes -= next.request().content().readableBytes();
    }
    return next;
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  boolean isFull() {
    return queue.size() >= MAX_REQUESTS;
  }

  boolean hasMaxBytes() {
    return bytes >= MAX_BYTES;
  }

  /** Releases all requests. */
  void releaseAll() {
    for (Pipelined next = queue.pollFirst(); next != null; next = queue.pollFirst()) {
      next.request().release();
    }
  }
}
