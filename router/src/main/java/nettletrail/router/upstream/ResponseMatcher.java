package nettletrail.router.upstream;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Tells which request a response on a connection belongs to, by the attempt id that it echoes, and
 * where the connection is in it. Skips interim responses (1xx) and one late response to an earlier
 * request.
 */
final class ResponseMatcher {
  private static final String ATTEMPT_ID = "X-Attempt-Id";

  /** What a response's head is. */
  enum Match {
    /** The final response to the current request. */
    CURRENT,
    /** To be skipped: an interim response, or one to an earlier request on this connection. */
    SKIPPED,
    /** Its framing is ambiguous, or it can't be proven to belong to the current request. */
    INVALID
  }

  /** Of the response in progress; null between responses. */
  private HttpResponse head;

  private ResponseFraming framing;

  /** The response in progress belongs to an earlier request. */
  private boolean skipping;

  private boolean skippedAny;

  /** Another request is sent. */
  void requestStarted() {
    head = null;
  }

  /**
   * Classifies a response.
   *
   * @param attempt the current request
   * @param reused whether the connection carried a request before
   */
  Match responseStarted(HttpResponse started, Attempt attempt, boolean reused) {
    head = started;
    framing = ResponseFraming.of(started, attempt.isHeadRequest());
    if (framing == ResponseFraming.AMBIGUOUS) {
      return Match.INVALID;
    }
    if (isInterim(started)) {
      return Match.SKIPPED;
    }
    Match match = matchAttemptId(started, attempt.attemptId(), reused);
    if (match == Match.SKIPPED) {
      skipping = true;
      skippedAny = true;
    }
    return match;
  }

  /**
   * Without an id, a response on a reused connection may be a late one to an earlier request, so
   * only the first request of a connection may do without.
   */
  private Match matchAttemptId(HttpResponse started, String expected, boolean reused) {
    String echoed = started.headers().get(ATTEMPT_ID);
    if (expected == null || expected.equals(echoed) || echoed == null && !reused) {
      return Match.CURRENT;
    }
    return echoed != null && reused && !skippedAny ? Match.SKIPPED : Match.INVALID;
  }

  /** Whether a response's head was read and its end was not. */
  boolean isInResponse() {
    return head != null;
  }

  /**
   * Takes content of the response in progress.
   *
   * @return whether it belongs to the current request's final response
   */
  boolean matchesContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (isInterim(head)) {
      head = last ? null : head;
      return false;
    }
    if (skipping) {
      skipping = !last;
      head = last ? null : head;
      return false;
    }
    return true;
  }

  /** The final response has ended; returns its head. */
  HttpResponse responseEnded() {
    HttpResponse ended = head;
    head = null;
    return ended;
  }

  /** Whether the latest response ends with its connection. */
  boolean endsWithConnection() {
    return framing == ResponseFraming.UNTIL_CLOSE;
  }

  /** Whether a response to an earlier request was skipped: then the connection is not reused. */
  boolean hasSkipped() {
    return skippedAny;
  }

  private static boolean isInterim(HttpResponse response) {
    return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }
}
