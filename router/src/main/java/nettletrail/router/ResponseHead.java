package nettletrail.router;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Iterator;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import nettletrail.upstream.HeadBytes;

/** Serialises the head of a response to a client. */
final class ResponseHead {
  private static final int EXPECTED_BYTES = 320;
  private static final byte[] VERSION = HeadBytes.constant("HTTP/1.1 ");
  private static final byte[] SPACE = HeadBytes.constant(" ");
  private static final byte[] COLON = HeadBytes.constant(": ");
  private static final byte[] LINE_END = HeadBytes.constant("\r\n");
  private static final byte[] LENGTH = HeadBytes.constant("Content-Length: ");
  private static final byte[] CHUNKED = HeadBytes.constant("Transfer-Encoding: chunked\r\n");
  private static final byte[] CLOSE = HeadBytes.constant("Connection: close\r\n");
  private static final byte[] RETRY_AFTER = HeadBytes.constant("Retry-After: ");
  private static final double MS_PER_SECOND = 1000;

  /** For a body with the chunked transfer coding. */
  static final long LENGTH_CHUNKED = -1;

  /** For a response without a body, as to HEAD: the backend's Content-Length is forwarded. */
  static final long LENGTH_OF_BACKEND = -2;

  private ResponseHead() {}

  /**
   * The head of a backend's response.
   *
   * @param length of the body in bytes, or {@link #LENGTH_CHUNKED} or {@link #LENGTH_OF_BACKEND}
   * @param close whether the connection closes after the response
   */
  static HeadBytes of(HttpResponse response, long length, boolean close) {
    HeadBytes head = new HeadBytes(EXPECTED_BYTES);
    head.add(VERSION).add(response.status().code()).add(SPACE);
    head.add(response.status().reasonPhrase()).add(LINE_END);
    Set<String> listed = RequestHeaders.listedByConnection(response.headers());
    Iterator<Map.Entry<CharSequence, CharSequence>> all = response.headers().iteratorCharSequence();
    while (all.hasNext()) {
      Map.Entry<CharSequence, CharSequence> header = all.next();
      CharSequence name = header.getKey();
      boolean keptLength =
          length == LENGTH_OF_BACKEND && mayHaveContentLength(response) && isContentLength(name);
      boolean dropped =
          RequestHeaders.isHopByHop(name) && !keptLength
              || !listed.isEmpty() && listed.contains(name.toString().toLowerCase(Locale.ROOT));
      if (!dropped) {
        head.add(name.toString()).add(COLON).add(header.getValue().toString()).add(LINE_END);
      }
    }
    return end(head, length, close);
  }

  /** Not a 204: some clients would wait for a body (RFC 9110 section 8.6). */
  private static boolean mayHaveContentLength(HttpResponse response) {
    return !response.status().equals(HttpResponseStatus.NO_CONTENT);
  }

  private static boolean isContentLength(CharSequence name) {
    return "content-length".contentEquals(name.toString().toLowerCase(Locale.ROOT));
  }

  /** The head of the router's own response, which has no body. */
  static HeadBytes ofRejection(Rejection rejection, boolean close) {
    HeadBytes head = new HeadBytes(EXPECTED_BYTES);
    head.add(VERSION).add(rejection.status().code()).add(SPACE);
    head.add(rejection.status().reasonPhrase()).add(LINE_END);
    if (rejection.retryAfterMs() > 0) {
      String seconds = Double.toString(rejection.retryAfterMs() / MS_PER_SECOND);
      head.add(RETRY_AFTER).add(seconds).add(LINE_END);
    }
    return end(head, 0, close);
  }

  private static HeadBytes end(HeadBytes head, long length, boolean close) {
    if (length == LENGTH_CHUNKED) {
      head.add(CHUNKED);
    } else if (length >= 0) {
      head.add(LENGTH).add(length).add(LINE_END);
    }
    if (close) {
      head.add(CLOSE);
    }
    return head.add(LINE_END);
  }
}
