package nettletrail.router;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/**
 * Names of the headers that the router reads or writes, and whether they are hop-by-hop, end-to-end
 * or replaced by the router.
 */
final class RequestHeaders {
  static final AsciiString ATTEMPT_ID = AsciiString.cached("X-Attempt-Id");
  static final AsciiString KEY = AsciiString.cached("X-Key");
  static final AsciiString SENDER = AsciiString.cached("X-Sender");
  static final AsciiString DELIVER_TO = AsciiString.cached("X-Deliver-To");
  static final AsciiString TIME_LEFT = AsciiString.cached("X-Time-Left");
  static final AsciiString MODEL = AsciiString.cached("X-Model");
  static final AsciiString TOKEN_COUNT = AsciiString.cached("X-Token-Count");
  static final AsciiString PROMPT_PREFIX = AsciiString.cached("X-Prompt-Prefix");
  static final AsciiString PRIORITY = AsciiString.cached("Priority");
  static final AsciiString LAST_EVENT_ID = AsciiString.cached("Last-Event-Id");
  static final AsciiString SEAL = AsciiString.cached("X-Backend-Seal");
  static final AsciiString NOT_RUN = AsciiString.cached("X-Not-Run");

  private static final AsciiString KEEP_ALIVE = AsciiString.cached("Keep-Alive");
  private static final AsciiString PROXY_CONNECTION = AsciiString.cached("Proxy-Connection");
  private static final AsciiString[] HOP_BY_HOP = {
    HttpHeaderNames.CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    HttpHeaderNames.TRANSFER_ENCODING,
    HttpHeaderNames.TE,
    HttpHeaderNames.TRAILER,
    HttpHeaderNames.UPGRADE,
    HttpHeaderNames.CONTENT_LENGTH,
    HttpHeaderNames.EXPECT,
  };
  private static final AsciiString[] END_TO_END = {
    HttpHeaderNames.HOST, ATTEMPT_ID, MODEL, TOKEN_COUNT, PROMPT_PREFIX, LAST_EVENT_ID,
  };
  private static final AsciiString[] REPLACED = {
    KEY, SENDER, DELIVER_TO, TIME_LEFT, PRIORITY,
  };

  private RequestHeaders() {}

  /**
   * Whether a header is for one connection only (RFC 9110, section 7.6.1), or describes the
   * framing, which the router writes itself.
   */
  static boolean isHopByHop(CharSequence name) {
    return contains(HOP_BY_HOP, name);
  }

  /** Whether the router removes the client's header, and may write its own. */
  static boolean isReplaced(CharSequence name) {
    return contains(REPLACED, name);
  }

  /**
   * Whether a header is forwarded even if a Connection header lists it: without it the backend
   * would run another request than the client's.
   */
  static boolean isEndToEnd(CharSequence name) {
    return contains(END_TO_END, name);
  }

  /** The names in a message's Connection headers, in lower case. */
  static Set<String> listedByConnection(HttpHeaders headers) {
    if (!headers.contains(HttpHeaderNames.CONNECTION)) {
      return Set.of();
    }
    Set<String> listed = new HashSet<>();
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",")) {
        listed.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    return listed;
  }

  private static boolean contains(AsciiString[] names, CharSequence name) {
    for (AsciiString each : names) {
      if (each.length() == name.length() && each.contentEqualsIgnoreCase(name)) {
        return true;
      }
    }
    return false;
  }
}
