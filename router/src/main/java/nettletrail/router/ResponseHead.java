package nettletrail.router;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Iterator;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import nettletrail.upstream.HeadBytes;

/** Writes an answer's head as the client gets it. */
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

  /** The body's length is told by chunks. */
  static final long LENGTH_CHUNKED = -1;

  /** The backend's own length is passed on, of an answer without a body: that to HEAD. */
  static final long LENGTH_AS_ANSWERED = -2;

  private ResponseHead() {}

  /**
   * A backend's answer.
   *
   * @param length of the body, or one of the constants above
   */
  static HeadBytes of(HttpResponse answer, long length, boolean close) {
    HeadBytes head = new HeadBytes(EXPECTED_BYTES);
    head.add(VERSION).add(answer.status().code()).add(SPACE);
    head.add(answer.status().reasonPhrase()).add(LINE_END);
    Set<String> listed = RequestHeaders.listedByConnection(answer.headers());
    Iterator<Map.Entry<CharSequence, CharSequence>> all = answer.headers().iteratorCharSequence();
    while (all.hasNext()) {
      Map.Entry<CharSequence, CharSequence> header = all.next();
      CharSequence name = header.getKey();
      boolean keptLength =
          length == LENGTH_AS_ANSWERED && mayTellLength(answer) && isContentLength(name);
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
  private static boolean mayTellLength(HttpResponse answer) {
    return !answer.status().equals(HttpResponseStatus.NO_CONTENT);
  }

  private static boolean isContentLength(CharSequence name) {
    return "content-length".contentEquals(name.toString().toLowerCase(Locale.ROOT));
  }

  /** An answer of the router's own, without a body. */
  static HeadBytes ofRefusal(Refusal refusal, boolean close) {
    HeadBytes head = new HeadBytes(EXPECTED_BYTES);
    head.add(VERSION).add(refusal.status().code()).add(SPACE);
    head.add(refusal.status().reasonPhrase()).add(LINE_END);
    if (refusal.retryAfterMs() > 0) {
      String seconds = Double.toString(refusal.retryAfterMs() / MS_PER_SECOND);
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
