package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import nettletrail.router.balance.PromptPrefix;
import nettletrail.router.text.DecimalNumber;

/**
 * A complete request of a client with typed access to its headers. Owns the request's buffers until
 * {@link #release}.
 */
final class ClientRequest {
  private final FullHttpRequest request;
  private final String target;
  private final String path;
  private final long arrivedAt;

  /**
   * @param request its reference is taken over
   * @param target path and query
   * @param arrivedAt when its head was decoded, ns
   */
  ClientRequest(FullHttpRequest request, String target, long arrivedAt) {
    this.request = request;
    this.target = target;
    this.arrivedAt = arrivedAt;
    path = pathOf(target);
  }

  /** The path of a target, without its query. */
  static String pathOf(String target) {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  HttpMethod method() {
    return request.method();
  }

  /** Whether it is an HTTP/1.0 request. */
  boolean isHttp10() {
    return isHttp10(request);
  }

  /** Whether it is an HTTP/1.0 request: no chunked coding, and the connection is not kept alive. */
  static boolean isHttp10(HttpRequest request) {
    return request.protocolVersion().minorVersion() == 0;
  }

  HttpHeaders headers() {
    return request.headers();
  }

  ByteBuf body() {
    return request.content();
  }

  String target() {
    return target;
  }

  String path() {
    return path;
  }

  long arrivedAt() {
    return arrivedAt;
  }

  /** The Host header; empty if there is none, as HTTP/1.0 permits. */
  String host() {
    String host = request.headers().get(HttpHeaderNames.HOST);
    return host == null ? "" : host;
  }

  /** The id of the client's attempt, or null. */
  String attemptId() {
    return request.headers().get(RequestHeaders.ATTEMPT_ID);
  }

  /** The API key, or null. */
  String key() {
    return request.headers().get(RequestHeaders.KEY);
  }

  /** How long the client waits, in ms; -1 if it doesn't state it. */
  long timeLeftMs() {
    return RequestDeadline.timeLeftMs(request.headers());
  }

  /** The id of the last event that the client has; -1 if it states none. */
  long lastEventId() {
    return DecimalNumber.parse(request.headers().get(RequestHeaders.LAST_EVENT_ID));
  }

  /** Tokens of its prompt and its response; null if it doesn't state them. */
  TokenCount tokenCount() {
    return TokenCount.parse(request.headers().get(RequestHeaders.TOKEN_COUNT));
  }

  /** The shared prefix of its prompt. */
  PromptPrefix promptPrefix() {
    return PromptPrefix.parse(
        request.headers().get(RequestHeaders.PROMPT_PREFIX),
        request.headers().get(RequestHeaders.MODEL));
  }

  void release() {
    request.release();
  }
}
