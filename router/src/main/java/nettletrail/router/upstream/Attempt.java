package nettletrail.router.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import nettletrail.upstream.HeadBytes;

/**
 * One send of a request to one backend, as its connection sees it. All on the event loop. Ends with
 * exactly one of {@link #answerEnded}, {@link #failed} and the caller's own {@link
 * UpstreamPool.Ticket#cancel}; nothing is called after that.
 */
public interface Attempt {
  /**
   * Asked directly before the first byte is written, on a connection that is up.
   *
   * @return false to send nothing; then nothing more is called
   */
  boolean confirmSend();

  /** The head to be written; asked once, after {@link #confirmSend}. */
  HeadBytes head();

  /** The body to be written; not released by the callee. */
  ByteBuf body();

  /** Whether the method is HEAD, so that the answer has no body. */
  boolean isHeadRequest();

  /** The id that the answer must echo, or null if the request has none. */
  String attemptId();

  /** The head of the final answer; it may come before the whole request is written. */
  void answerBegan(HttpResponse head);

  /** A part of the body; not released by the callee. */
  void answerContent(ByteBuf content);

  /** All that was decoded of one read has been told. */
  void answerFlush();

  /** The answer is whole. */
  void answerEnded();

  /** No whole answer will come. */
  void failed(AttemptFailure failure);
}
