package nettletrail.router.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import nettletrail.upstream.HeadBytes;

/**
 * One attempt to send a request to one backend, as its connection sees it. All methods are called
 * on the event loop. It ends with exactly one of {@link #responseEnded}, {@link #failed} and the
 * caller's own {@link AttemptHandle#cancel}; no method is called after that.
 */
public interface Attempt {
  /**
   * Called directly before the first byte is written, on an open connection.
   *
   * @return false to send nothing; then no other method is called
   */
  boolean confirmSend();

  /** The request's head; called once, after {@link #confirmSend}. */
  HeadBytes head();

  /** The request's body; not released by the connection. */
  ByteBuf body();

  /** Whether the method is HEAD, so that the response has no body. */
  boolean isHeadRequest();

  /** The id that the response must echo, or null if the request has none. */
  String attemptId();

  /** The head of the final response; it may precede the end of the request's write. */
  void responseStarted(HttpResponse head);

  /** Bytes of the response's body; released by the connection when this returns. */
  void responseContent(ByteBuf content);

  /** All bytes of one read of the socket were passed on. */
  void responseReadComplete();

  /** The response is complete. */
  void responseEnded();

  /** There will be no complete response. */
  void failed(AttemptFailure failure);
}
