package nettletrail.router;

import io.netty.buffer.ByteBuf;

/** Relays the body of a backend's response to the client: buffered or event by event. */
interface ResponseRelay {
  /** Bytes of the body; not released here. */
  void content(ByteBuf content);

  /** All bytes of one read of the backend's socket were passed on. */
  void flush();

  /**
   * The id of the event after which another backend is to continue, or -1 if it has to begin as the
   * first one did.
   */
  long resumeAfter();

  /** Whether a part of the response was sent to the client. */
  boolean hasBegun();

  /** Events that were relayed. */
  long events();

  /** Releases its buffers. */
  void release();
}
