package nettletrail.router.upstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** Where the body of a backend's final answer ends (RFC 9112 section 6.3). Pure. */
public enum AnswerFraming {
  /** Directly behind the head. */
  NO_BODY,
  /** After as many bytes as its length tells. */
  LENGTH,
  /** With its last chunk. */
  CHUNKED,
  /** With the connection's orderly end (FIN); a reset cuts it off. */
  UNTIL_CLOSE,
  /** That can't be told for certain: no answer. */
  AMBIGUOUS;

  /**
   * Tells the framing of an answer.
   *
   * @param toHeadRequest whether it answers a request with the method HEAD
   */
  public static AnswerFraming of(HttpResponse answer, boolean toHeadRequest) {
    if (answer.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      return AMBIGUOUS;
    }
    if (toHeadRequest
        || answer.status().equals(HttpResponseStatus.NO_CONTENT)
        || answer.status().equals(HttpResponseStatus.NOT_MODIFIED)) {
      return NO_BODY;
    }
    List<String> codings = answer.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (!codings.isEmpty()) {
      return isChunkedOnly(answer, codings) ? CHUNKED : AMBIGUOUS;
    }
    return HttpUtil.isContentLengthSet(answer) ? LENGTH : UNTIL_CLOSE;
  }

  /** Another coding would be left in the body, and HTTP/1.0 knows no chunks. */
  private static boolean isChunkedOnly(HttpResponse answer, List<String> codings) {
    return codings.size() == 1
        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).trim())
        && !answer.protocolVersion().equals(HttpVersion.HTTP_1_0);
  }
}
