package nettletrail.router;

import io.netty.buffer.ByteBuf;

/** How the answer of a backend reaches the client. */
interface AnswerRelay {
  /** A part of the body; not released here. */
  void content(ByteBuf content);

  /** All that was decoded of one read has been told. */
  void flush();

  /**
   * The event after which a further backend is to go on, or -1 if it is to begin as the first one
   * did.
   */
  long resumeAfter();

  /** Whether something of the answer has been sent to the client. */
  boolean hasBegun();

  /** Events that were passed on. */
  long events();

  /** Frees what is held. */
  void drop();
}
