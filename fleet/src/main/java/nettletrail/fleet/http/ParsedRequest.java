package nettletrail.fleet.http;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import nettletrail.protocol.Backend;

/** A request, as recognized by its path and method. */
sealed interface ParsedRequest {
  /**
   * A backend registers, renews or removes itself.
   *
   * @param method PUT or DELETE
   */
  record BackendRequest(String method, Backend backend) implements ParsedRequest {}

  /**
   * An operator reads or changes the configuration.
   *
   * @param method GET, PUT or PATCH
   * @param ifMatch the edition in If-Match without its quotes; empty if there is none
   * @param body empty for GET
   */
  record ConfigurationRequest(String method, String ifMatch, byte[] body)
      implements ParsedRequest {}

  /**
   * An operator reads this process's state.
   *
   * @param resource the rest of the path, decoded
   */
  record StatusRequest(String resource) implements ParsedRequest {}

  /** A readiness check. */
  record ReadinessRequest() implements ParsedRequest {}

  /** A path that does not exist. */
  record UnknownPath(String path) implements ParsedRequest {}

  /**
   * A method that the path doesn't have.
   *
   * @param allowed the methods that it has
   */
  record MethodNotAllowed(List<HttpMethod> allowed) implements ParsedRequest {
    /** The methods as a value of the header field Allow. */
    String allowedNames() {
      return String.join(", ", allowed.stream().map(HttpMethod::name).toList());
    }
  }
}
