package nettletrail.fleet.cli;

import java.net.URI;
import java.net.http.HttpRequest;
import java.time.Duration;

/**
 * A request to the control interface of a core.
 *
 * @param path the path, encoded
 * @param ifMatch the edition that a change builds on; empty for none
 * @param body empty for none
 */
record CoreRequest(String path, String method, String ifMatch, byte[] body) {
  /** A request that reads. */
  static CoreRequest get(String path) {
    return new CoreRequest(path, "GET", "", new byte[0]);
  }

  /**
   * The address of this request at a core.
   *
   * @throws CommandException if the core's address isn't {@code host:port}
   */
  URI uriAt(String core) throws CommandException {
    URI uri = null;
    try {
      uri = URI.create("http://" + core + path);
    } catch (IllegalArgumentException malformed) {
      // Reported below, like an address without a port.
    }
    if (uri == null || uri.getHost() == null || uri.getPort() < 0) {
      throw new CommandException(ExitCode.USAGE, CommandStep.READ, core, "it isn't HOST:PORT");
    }
    return uri;
  }

  /** This request for the JDK's HTTP client. */
  HttpRequest toHttpRequest(URI target, Duration timeout) {
    HttpRequest.Builder request = HttpRequest.newBuilder(target).timeout(timeout);
    if (body.length > 0) {
      request.header("Content-Type", "application/json");
    }
    if (!ifMatch.isEmpty()) {
      request.header("If-Match", ifMatch);
    }
    HttpRequest.BodyPublisher publisher =
        body.length == 0
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofByteArray(body);
    return request.method(method, publisher).build();
  }
}
