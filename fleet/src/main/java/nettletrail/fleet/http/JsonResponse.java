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
 * A response to be written once all earlier requests of its connection have been responded to.
 *
 * @param status HTTP status
 * @param json body; not copied, so it must not be modified
 * @param allow value of the header field Allow; empty for none
 * @param location value of the header field Location; empty for none
 * @param validUntil instant of the steady clock, in nanoseconds, from which 503 is written instead
 */
record JsonResponse(int status, byte[] json, String allow, String location, long validUntil) {
  /** The {@code validUntil} of a response that does not expire. */
  static final long ALWAYS = Long.MAX_VALUE;

  /**
   * Characters of an error message. Keeps bodies below 4 KiB however the text is escaped; backends
   * ignore longer ones.
   */
  private static final int MAX_MESSAGE_LENGTH = 512;

  private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.US_ASCII);

  /** A response that does not expire; a body that is null or empty becomes an empty object. */
  static JsonResponse of(int status, byte[] json) {
    return of(status, json, ALWAYS);
  }

  /** A response that expires; a body that is null or empty becomes an empty object. */
  static JsonResponse of(int status, byte[] json, long validUntil) {
    boolean empty = json == null || json.length == 0;
    return new JsonResponse(status, empty ? EMPTY_OBJECT : json, "", "", validUntil);
  }

  /** The response to write at an instant of the steady clock: this one while valid, then 503. */
  JsonResponse asOf(long now) {
    return now < validUntil
        ? this
        : error(HttpResponseStatus.SERVICE_UNAVAILABLE, "the answer came too late");
  }

  /** An error with a message for the client, which is truncated if it is long. */
  static JsonResponse error(HttpResponseStatus status, String message) {
    String shortened = message.substring(0, Math.min(message.length(), MAX_MESSAGE_LENGTH));
    String json = JsonStream.serialize(Map.of("error", shortened));
    return of(status.code(), json.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Status 405.
   *
   * @param allow the methods that the path has, separated by commas
   */
  static JsonResponse methodNotAllowed(String allow) {
    JsonResponse error = error(HttpResponseStatus.METHOD_NOT_ALLOWED, "this path allows " + allow);
    return new JsonResponse(error.status(), error.json(), allow, "", ALWAYS);
  }

  /**
   * Status 307.
   *
   * @param location where the client is to send the same request, as {@code http://...}
   */
  static JsonResponse redirect(String location) {
    int status = HttpResponseStatus.TEMPORARY_REDIRECT.code();
    return new JsonResponse(status, EMPTY_OBJECT, "", location, ALWAYS);
  }

  /**
   * The response with all its header fields but Connection. Its buffer wraps the body; writing it
   * releases it.
   */
  FullHttpResponse toHttpResponse() {
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
