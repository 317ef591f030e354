package nettletrail.fleet.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import nettletrail.protocol.Backend;

/** Recognizes the requests of the control interface by path and method, and parses them. */
final class ControlRequestParser {
  private static final String CONFIGURATION_PATH = "/nettletrail/config";
  private static final String READY_PATH = "/nettletrail/ready";

  /** Followed by the name of a resource. */
  private static final String STATUS_PREFIX = "/nettletrail/status/";

  /** Followed by a backend's id. */
  private static final String BACKEND_PREFIX = "/nettletrail/backends/";

  /** The query parameter of a DELETE that holds its call sequence. */
  private static final String CALL_SEQUENCE_PARAMETER = "call_seq";

  /** In characters. */
  private static final int MAX_BACKEND_ID_LENGTH = 256;

  private static final List<HttpMethod> READ_METHODS = List.of(HttpMethod.GET);
  private static final List<HttpMethod> CONFIGURATION_METHODS =
      List.of(HttpMethod.GET, HttpMethod.PUT, HttpMethod.PATCH);
  private static final List<HttpMethod> BACKEND_METHODS =
      List.of(HttpMethod.PUT, HttpMethod.DELETE);

  private ControlRequestParser() {}

  /**
   * Parses a request. Its body is copied; the caller still has to release the request.
   *
   * @throws BadRequestException if path or body are malformed
   */
  static ParsedRequest parse(FullHttpRequest request) throws BadRequestException {
    QueryStringDecoder target = new QueryStringDecoder(request.uri());
    String path = path(target);
    if (path.equals(CONFIGURATION_PATH)) {
      return configuration(request);
    }
    if (path.equals(READY_PATH)) {
      return readOnly(request, new ParsedRequest.ReadinessRequest());
    }
    if (path.startsWith(STATUS_PREFIX)) {
      String resource = path.substring(STATUS_PREFIX.length());
      return readOnly(request, new ParsedRequest.StatusRequest(resource));
    }
    if (path.startsWith(BACKEND_PREFIX)) {
      return backend(request, target, path.substring(BACKEND_PREFIX.length()));
    }
    return new ParsedRequest.UnknownPath(path);
  }

  private static String path(QueryStringDecoder target) throws BadRequestException {
    try {
      return target.path();
    } catch (IllegalArgumentException failure) {
      throw new BadRequestException("the path can't be read: " + failure.getMessage(), failure);
    }
  }

  private static ParsedRequest readOnly(FullHttpRequest request, ParsedRequest parsed) {
    return READ_METHODS.contains(request.method())
        ? parsed
        : new ParsedRequest.MethodNotAllowed(READ_METHODS);
  }

  private static ParsedRequest configuration(FullHttpRequest request) {
    if (!CONFIGURATION_METHODS.contains(request.method())) {
      return new ParsedRequest.MethodNotAllowed(CONFIGURATION_METHODS);
    }
    String ifMatch = unquoted(request.headers().get(HttpHeaderNames.IF_MATCH, ""));
    return new ParsedRequest.ConfigurationRequest(
        request.method().name(), ifMatch, copyBody(request));
  }

  private static String unquoted(String entityTag) {
    String tag = entityTag.strip();
    if (tag.startsWith("W/")) {
      tag = tag.substring(2);
    }
    boolean quoted = tag.length() >= 2 && tag.startsWith("\"") && tag.endsWith("\"");
    return quoted ? tag.substring(1, tag.length() - 1) : tag;
  }

  private static ParsedRequest backend(
      FullHttpRequest request, QueryStringDecoder target, String id) throws BadRequestException {
    if (id.isEmpty() || id.contains("/") || id.length() > MAX_BACKEND_ID_LENGTH) {
      return new ParsedRequest.UnknownPath(target.path());
    }
    if (request.method().equals(HttpMethod.PUT)) {
      Backend backend = BackendRequestParser.parse(id, copyBody(request));
      return new ParsedRequest.BackendRequest(HttpMethod.PUT.name(), backend);
    }
    if (request.method().equals(HttpMethod.DELETE)) {
      Backend backend = BackendRequestParser.deregistered(id, callSequence(target));
      return new ParsedRequest.BackendRequest(HttpMethod.DELETE.name(), backend);
    }
    return new ParsedRequest.MethodNotAllowed(BACKEND_METHODS);
  }

  private static long callSequence(QueryStringDecoder target) throws BadRequestException {
    try {
      List<String> values = target.parameters().getOrDefault(CALL_SEQUENCE_PARAMETER, List.of());
      return values.isEmpty()
          ? ControlRequestHandler.FINAL_CALL_SEQUENCE
          : Long.parseLong(values.get(0));
    } catch (IllegalArgumentException failure) {
      throw new BadRequestException(CALL_SEQUENCE_PARAMETER + " isn't a whole number", failure);
    }
  }

  private static byte[] copyBody(FullHttpRequest request) {
    return ByteBufUtil.getBytes(request.content());
  }
}
