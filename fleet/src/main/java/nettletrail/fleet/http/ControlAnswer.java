package nettletrail.fleet.http;

import com.jsoniter.output.JsonStream;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One answer, to be written as soon as all earlier calls of its connection are answered.
 *
 * @param status HTTP status
 * @param json body
 * @param allow the field Allow; empty for none
 * @param location the field Location; empty for none
 * @param validUntil steady instant from which on 503 is written in its place
 */
record ControlAnswer(int status, byte[] json, String allow, String location, long validUntil) {
  /** The {@code validUntil} of an answer that may be written at any time. */
  static final long ALWAYS = Long.MAX_VALUE;

  /**
   * Keeps answers below 4 KiB however their text is escaped; longer ones don't count for a backend.
   */
  private static final int MAX_ERROR_LENGTH = 512;

  private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.US_ASCII);

  /** An answer with a body; null or no bytes stand for an empty object. */
  static ControlAnswer of(int status, byte[] json) {
    return of(status, json, ALWAYS);
  }

  /** An answer with a body that must not be written from an instant on. */
  static ControlAnswer of(int status, byte[] json, long validUntil) {
    boolean empty = json == null || json.length == 0;
    return new ControlAnswer(status, empty ? EMPTY_OBJECT : json, "", "", validUntil);
  }

  /** What is to be written at this instant: this answer while it is valid, then 503. */
  ControlAnswer asOf(long now) {
    return now < validUntil
        ? this
        : error(HttpResponseStatus.SERVICE_UNAVAILABLE, "the answer came too late");
  }

  /** An answer that tells the caller what is wrong. */
  static ControlAnswer error(HttpResponseStatus status, String message) {
    String shortened = message.substring(0, Math.min(message.length(), MAX_ERROR_LENGTH));
    String json = JsonStream.serialize(Map.of("error", shortened));
    return of(status.code(), json.getBytes(StandardCharsets.UTF_8));
  }

  /** An answer to a method that the path doesn't have. */
  static ControlAnswer wrongMethod(String allow) {
    ControlAnswer error = error(HttpResponseStatus.METHOD_NOT_ALLOWED, "this path allows " + allow);
    return new ControlAnswer(error.status(), error.json(), allow, "", ALWAYS);
  }

  /** An answer that sends the caller elsewhere with the same call. */
  static ControlAnswer redirect(String location) {
    int status = HttpResponseStatus.TEMPORARY_REDIRECT.code();
    return new ControlAnswer(status, EMPTY_OBJECT, "", location, ALWAYS);
  }

  /** The response, with all its fields but Connection. */
  FullHttpResponse toResponse() {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(json));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, json.length);
    if (!allow.isEmpty()) {
      response.headers().set(HttpHeaderNames.ALLOW, allow);
    }
    if (!location.isEmpty()) {
      response.headers().set(HttpHeaderNames.LOCATION, location);
    }
    return response;
  }
}
