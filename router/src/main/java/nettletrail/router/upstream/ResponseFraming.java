package nettletrail.router.upstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** Where the body of a backend's final response ends (RFC 9112, section 6.3). */
public enum ResponseFraming {
  /** There is no body. */
  NO_BODY,
  /** After the number of bytes in Content-Length. */
  LENGTH,
  /** With the last chunk. */
  CHUNKED,
  /** With the orderly end of the connection (FIN); a reset truncates it. */
  UNTIL_CLOSE,
  /** The end can't be determined: the response is invalid. */
  AMBIGUOUS;

  /**
   * The framing of a response.
   *
   * @param toHeadRequest whether the request's method is HEAD
   */
  public static ResponseFraming of(HttpResponse response, boolean toHeadRequest) {
    if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      return AMBIGUOUS;
    }
    if (toHeadRequest
        || response.status().equals(HttpResponseStatus.NO_CONTENT)
        || response.status().equals(HttpResponseStatus.NOT_MODIFIED)) {
      return NO_BODY;
    }
    List<String> codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (!codings.isEmpty()) {
      return isChunkedOnly(response, codings) ? CHUNKED : AMBIGUOUS;
    }
    return HttpUtil.isContentLengthSet(response) ? LENGTH : UNTIL_CLOSE;
  }

  /** Another transfer coding would stay in the body, and HTTP/1.0 has no chunked coding. */
  private static boolean isChunkedOnly(HttpResponse response, List<String> codings) {
    return codings.size() == 1
        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).trim())
        && !response.protocolVersion().equals(HttpVersion.HTTP_1_0);
  }
}
