package nettletrail.router;

import io.netty.handler.codec.http.HttpMethod;
import java.util.Iterator;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import nettletrail.upstream.HeadBytes;

/** Serialises the head of a request to a backend. */
final class RequestHead {
  private static final int EXPECTED_BYTES = 640;

  /** Priorities on the wire are one digit, 0 the most urgent. */
  private static final int LOWEST_PRIORITY = 9;

  private static final byte[] SPACE = HeadBytes.constant(" ");
  private static final byte[] VERSION = HeadBytes.constant(" HTTP/1.1\r\n");
  private static final byte[] COLON = HeadBytes.constant(": ");
  private static final byte[] LINE_END = HeadBytes.constant("\r\n");
  private static final byte[] DELIVER_TO = HeadBytes.constant("X-Deliver-To: ");
  private static final byte[] SENDER = HeadBytes.constant("X-Sender: ");
  private static final byte[] TIME_LEFT = HeadBytes.constant("X-Time-Left: ");
  private static final byte[] PRIORITY = HeadBytes.constant("Priority: ");
  private static final byte[] LAST_EVENT_ID = HeadBytes.constant("Last-Event-Id: ");
  private static final byte[] LENGTH = HeadBytes.constant("Content-Length: ");

  private RequestHead() {}

  /**
   * The head for one attempt.
   *
   * @param backendId the incarnation that may run it
   * @param timeLeftMs until the deadline
   * @param resumeAfter id of the event after which the backend continues; -1 to forward the
   *     client's own header
   */
  static HeadBytes write(
      ClientRequest request,
      Resolution resolution,
      String backendId,
      long timeLeftMs,
      long resumeAfter) {
    HeadBytes head = new HeadBytes(EXPECTED_BYTES);
    head.add(request.method().name()).add(SPACE).add(request.target()).add(VERSION);
    copyHeaders(request, resumeAfter >= 0, head);
    head.add(DELIVER_TO).add(backendId).add(LINE_END);
    if (resolution.tenant() != null) {
      head.add(SENDER).add(resolution.tenantName()).add(LINE_END);
    }
    head.add(PRIORITY)
        .add(Math.min(LOWEST_PRIORITY, Math.max(0, resolution.priority())))
        .add(LINE_END);
    head.add(TIME_LEFT).add(timeLeftMs).add(LINE_END);
    if (resumeAfter >= 0) {
      head.add(LAST_EVENT_ID).add(resumeAfter).add(LINE_END);
    }
    int body = request.body().readableBytes();
    if (body > 0 || !request.method().equals(HttpMethod.GET)) {
      head.add(LENGTH).add(body).add(LINE_END);
    }
    return head.add(LINE_END);
  }

  private static void copyHeaders(ClientRequest request, boolean resumed, HeadBytes head) {
    Set<String> listed = RequestHeaders.listedByConnection(request.headers());
    Iterator<Map.Entry<CharSequence, CharSequence>> all = request.headers().iteratorCharSequence();
    while (all.hasNext()) {
      Map.Entry<CharSequence, CharSequence> header = all.next();
      CharSequence name = header.getKey();
      boolean named =
          !listed.isEmpty()
              && listed.contains(name.toString().toLowerCase(Locale.ROOT))
              && !RequestHeaders.isEndToEnd(name);
      boolean replaced = RequestHeaders.isReplaced(name) || resumed && isLastEventId(name);
      if (!named && !replaced && !RequestHeaders.isHopByHop(name)) {
        head.add(name.toString()).add(COLON).add(header.getValue().toString()).add(LINE_END);
      }
    }
  }

  private static boolean isLastEventId(CharSequence name) {
    return RequestHeaders.LAST_EVENT_ID.contentEqualsIgnoreCase(name);
  }
}
