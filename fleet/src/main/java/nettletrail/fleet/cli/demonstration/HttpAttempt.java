package nettletrail.fleet.cli.demonstration;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Sends one attempt of a request as HTTP/1.1 on its own connection. Uses a plain socket, so that it
 * is known which events arrived before a failure, and that no HTTP client retries silently.
 */
final class HttpAttempt {
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int READ_MARGIN_MS = 1_000;
  private static final String BODY = "{}";
  private static final String STREAM_FIELDS =
      "X-Model: m\r\nX-Token-Count: 40,40\r\nX-Prompt-Prefix: 5c1e07a2:30,91bd3f06:10\r\n";

  private HttpAttempt() {}

  /**
   * Sends a request and reads the response, or what arrives of it in time. Blocks.
   *
   * @param attempt the attempt's id
   * @param timeLeftMs time to the request's deadline, in milliseconds
   */
  static ClientResponse send(
      InetSocketAddress door, RequestKind kind, String attempt, int timeLeftMs) {
    HttpResponseReader reader = new HttpResponseReader();
    try (Socket socket = new Socket()) {
      try {
        socket.connect(door, CONNECT_TIMEOUT_MS);
      } catch (IOException notConnected) {
        return ClientResponse.notConnected();
      }
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeLeftMs + READ_MARGIN_MS);
      socket
          .getOutputStream()
          .write(request(kind, attempt, timeLeftMs).getBytes(StandardCharsets.US_ASCII));
      reader.read(new BufferedInputStream(socket.getInputStream()));
      return reader.response(true);
    } catch (IOException failure) {
      return reader.response(false);
    }
  }

  private static String request(RequestKind kind, String attempt, int timeLeftMs) {
    return "POST "
        + kind.path()
        + "1 HTTP/1.1\r\n"
        + field("Host", ConfigurationTemplate.HOST)
        + field("X-Attempt-Id", attempt)
        + field("X-Time-Left", timeLeftMs)
        + field("X-Key", kind.key())
        + (kind.isStream() ? STREAM_FIELDS : "")
        + field("Connection", "close")
        + field("Content-Type", "application/json")
        + field("Content-Length", BODY.length())
        + "\r\n"
        + BODY;
  }

  private static String field(String name, Object value) {
    return name + ": " + value + "\r\n";
  }
}
