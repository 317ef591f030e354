package nettletrail.fleet.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import nettletrail.protocol.Backend;

/** A request, as its path and method tell what it is. */
sealed interface ControlRequest {
  /** A backend's call. */
  record BackendCall(String method, Backend backend) implements ControlRequest {}

  /** The operator's call. */
  record ConfigurationCall(String method, String ifMatch, byte[] body) implements ControlRequest {}

  /** A question about this process's state; the resource is the path's rest, decoded. */
  record StatusCall(String resource) implements ControlRequest {}

  /** A question whether this process is ready. */
  record ReadyCall() implements ControlRequest {}

  /** No such path. */
  record UnknownPath(String path) implements ControlRequest {}

  /** A method that the path doesn't have. */
  record WrongMethod(List<HttpMethod> allowed) implements ControlRequest {
    /** For the field Allow. */
    String allowedNames() {
      return String.join(", ", allowed.stream().map(HttpMethod::name).toList());
    }
  }

  /** The paths of the interface. */
  String CONFIGURATION_PATH = "/nettletrail/config";

  /** Readiness of this process. */
  String READY_PATH = "/nettletrail/ready";

  /** Followed by the name of a resource. */
  String STATUS_PREFIX = "/nettletrail/status/";

  /** Followed by a backend's id. */
  String BACKEND_PREFIX = "/nettletrail/backends/";

  /** The query parameter of a DELETE that names its call sequence. */
  String CALL_SEQUENCE_PARAMETER = "call_seq";

  /** The longest id of a backend, in characters. */
  int MAX_ID_LENGTH = 256;

  /**
   * Reads a request. Its buffers stay the caller's.
   *
   * @throws BadRequestException if path or body can't be read
   */
  static ControlRequest parse(FullHttpRequest request) throws BadRequestException {
    QueryStringDecoder target = new QueryStringDecoder(request.uri());
    String path = path(target);
    if (path.equals(CONFIGURATION_PATH)) {
      return configuration(request);
    }
    if (path.equals(READY_PATH)) {
      List<HttpMethod> allowed = List.of(HttpMethod.GET);
      return allowed.contains(request.method()) ? new ReadyCall() : new WrongMethod(allowed);
    }
    if (path.startsWith(STATUS_PREFIX)) {
      List<HttpMethod> allowed = List.of(HttpMethod.GET);
      String resource = path.substring(STATUS_PREFIX.length());
      return allowed.contains(request.method())
          ? new StatusCall(resource)
          : new WrongMethod(allowed);
    }
    if (path.startsWith(BACKEND_PREFIX)) {
      return backend(request, target, path.substring(BACKEND_PREFIX.length()));
    }
    return new UnknownPath(path);
  }

  private static String path(QueryStringDecoder target) throws BadRequestException {
    try {
      return target.path();
    } catch (IllegalArgumentException failure) {
      throw new BadRequestException("the path can't be read: " + failure.getMessage(), failure);
    }
  }

  private static ControlRequest configuration(FullHttpRequest request) {
    List<HttpMethod> allowed = List.of(HttpMethod.GET, HttpMethod.PUT, HttpMethod.PATCH);
    if (!allowed.contains(request.method())) {
      return new WrongMethod(allowed);
    }
    String ifMatch = unquoted(request.headers().get(HttpHeaderNames.IF_MATCH, ""));
    return new ConfigurationCall(request.method().name(), ifMatch, bodyOf(request));
  }

  private static String unquoted(String tag) {
    String bare = tag.strip();
    if (bare.startsWith("W/")) {
      bare = bare.substring(2);
    }
    boolean quoted = bare.length() >= 2 && bare.startsWith("\"") && bare.endsWith("\"");
    return quoted ? bare.substring(1, bare.length() - 1) : bare;
  }

  private static ControlRequest backend(
      FullHttpRequest request, QueryStringDecoder target, String id) throws BadRequestException {
    if (id.isEmpty() || id.contains("/") || id.length() > MAX_ID_LENGTH) {
      return new UnknownPath(target.path());
    }
    if (request.method().equals(HttpMethod.PUT)) {
      Backend backend = BackendParser.parse(id, bodyOf(request));
      return new BackendCall(HttpMethod.PUT.name(), backend);
    }
    if (request.method().equals(HttpMethod.DELETE)) {
      Backend backend = BackendParser.gone(id, callSequence(target));
      return new BackendCall(HttpMethod.DELETE.name(), backend);
    }
    return new WrongMethod(List.of(HttpMethod.PUT, HttpMethod.DELETE));
  }

  private static long callSequence(QueryStringDecoder target) throws BadRequestException {
    try {
      List<String> named = target.parameters().getOrDefault(CALL_SEQUENCE_PARAMETER, List.of());
      return named.isEmpty() ? ControlCalls.FINAL_CALL_SEQUENCE : Long.parseLong(named.get(0));
    } catch (IllegalArgumentException failure) {
      throw new BadRequestException(CALL_SEQUENCE_PARAMETER + " isn't a whole number", failure);
    }
  }

  private static byte[] bodyOf(FullHttpRequest request) {
    return ByteBufUtil.getBytes(request.content());
  }
}
