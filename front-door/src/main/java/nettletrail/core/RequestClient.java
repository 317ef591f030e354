package nettletrail.core;

import io.netty.buffer.ByteBuf;

/**
 * Receives a request's final response: exactly one of {@link #served}, {@link #rejected}, {@link
 * #denied} and {@link #failed} is called, once, on the event loop.
 */
public interface RequestClient {
  /** A successful response. The body is owned by the caller; retain what is kept of it. */
  void served(ByteBuf body, String contentType);

  /** Rejected; a retry is safe. The delay before a retry is in ns; 0 if unknown. */
  void rejected(long retryAfterNanos);

  /** Denied by the authorizer; nothing of the request was forwarded. */
  default void denied(Authorizer.Denial denial) {
    if (denial.status() == 503) {
      rejected(denial.retryAfterNanos());
    } else {
      failed(denial.status());
    }
  }

  /** Reads the client's pending input; false if the client has disconnected. */
  default boolean readPending() {
    return true;
  }

  /** Failed, and may or may not have taken effect: 502, or 504 after the deadline. */
  void failed(int status);
}
