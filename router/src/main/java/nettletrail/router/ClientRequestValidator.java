package nettletrail.router;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.AsciiString;
import nettletrail.http.RequestHeadValidator;

/** Checks whether a decoded request may be forwarded. Pure. */
final class ClientRequestValidator {
  /** Headers that a request may have only once. */
  private static final AsciiString[] SINGLE_HEADERS =
      RequestHeadValidator.singleHeaders(
          RequestHeaders.ATTEMPT_ID,
          RequestHeaders.KEY,
          RequestHeaders.TIME_LEFT,
          RequestHeaders.TOKEN_COUNT,
          RequestHeaders.PROMPT_PREFIX,
          RequestHeaders.LAST_EVENT_ID);

  /**
   * Why a request is invalid.
   *
   * @param status of the response
   * @param closesConnection whether the end of the request is uncertain, so that nothing that
   *     follows on its connection can be parsed
   */
  record Invalid(HttpResponseStatus status, boolean closesConnection) {}

  private ClientRequestValidator() {}

  /** Returns why the request is invalid, or null if it is valid. */
  static Invalid validate(FullHttpRequest request) {
    if (hasInvalidBody(request)) {
      return new Invalid(HttpResponseStatus.BAD_REQUEST, true);
    }
    RequestHeadValidator.HeadError error = RequestHeadValidator.findError(request, SINGLE_HEADERS);
    return error == null ? null : new Invalid(error.status(), !error.endKnown());
  }

  /**
   * The decoder removes the chunked coding; any other one leaves the end of the body unknown. A GET
   * has no body.
   */
  private static boolean hasInvalidBody(FullHttpRequest request) {
    return request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
        || request.method().equals(HttpMethod.GET) && request.content().isReadable();
  }
}
