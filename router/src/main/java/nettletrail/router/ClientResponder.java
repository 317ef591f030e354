package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponse;
import nettletrail.upstream.HeadBytes;

/**
 * Writes the response to the current request of one client connection: exactly one of {@link
 * #reject}, {@link #forward} and a stream, which ends with {@link #endStream} or {@link
 * #breakStream}. On the event loop.
 */
final class ClientResponder {
  /** The connection, as its responder sees it. */
  interface Connection {
    /** Whether the connection closes after the response to the current request. */
    boolean closesAfterResponse();

    /**
     * The response is written; the next request may be dispatched before this returns.
     *
     * @param last whether the connection closes after it
     */
    void responseEnded(boolean last);

    /** The response ends incomplete, with the connection. */
    void responseBroken();
  }

  private final Channel channel;
  private final ResponseWriter writer;
  private final Connection connection;

  ClientResponder(Channel channel, ResponseWriter writer, Connection connection) {
    this.channel = channel;
    this.writer = writer;
    this.connection = connection;
  }

  /** Writes the router's own response. */
  void reject(Rejection rejection) {
    boolean last = connection.closesAfterResponse();
    write(ResponseHead.ofRejection(rejection, last), Unpooled.EMPTY_BUFFER, last);
  }

  /**
   * Writes a backend's complete response.
   *
   * @param body not released here
   * @param bodiless whether the response has no body by its status or the request's method
   */
  void forward(HttpResponse response, ByteBuf body, boolean bodiless) {
    boolean last = connection.closesAfterResponse();
    long length = bodiless ? ResponseHead.LENGTH_OF_BACKEND : body.readableBytes();
    write(ResponseHead.of(response, length, last), body, last);
  }

  private void write(HeadBytes head, ByteBuf body, boolean last) {
    if (channel.isActive()) {
      writer.write(head, body, last);
    }
    connection.responseEnded(last);
  }

  /** Whether the head of a streamed response was written and its end was not. */
  boolean isStreaming() {
    return writer.isStreaming();
  }

  /** Writes the head of a response whose body follows in chunks. */
  void beginStream(HttpResponse response) {
    writer.beginStream(response, connection.closesAfterResponse());
  }

  /** Adds bytes to the body; they are sent with {@link #flushStream}. */
  void addToStream(ByteBuf source, int from, int length) {
    writer.addToStream(source, from, length);
  }

  /** Sends the added bytes as one chunk. */
  void flushStream() {
    writer.flushStream();
  }

  /** Completes the streamed response. */
  void endStream() {
    connection.responseEnded(writer.endStream());
  }

  /** Ends the streamed response without its last chunk, and the connection with it. */
  void breakStream() {
    connection.responseBroken();
    writer.breakStream();
  }

  ByteBufAllocator allocator() {
    return channel.alloc();
  }
}
