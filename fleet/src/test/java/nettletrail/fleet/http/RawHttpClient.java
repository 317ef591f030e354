package nettletrail.fleet.http;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A client of tests that writes raw bytes and reads one response after the other. */
final class RawHttpClient implements AutoCloseable {
  private static final int READ_TIMEOUT_MILLIS = 20_000;

  /** A response; the names of the header fields are in lower case. */
  record Response(int status, Map<String, String> fields, String body) {}

  private final Socket socket;

  RawHttpClient(InetSocketAddress server) throws IOException {
    socket = new Socket(server.getAddress(), server.getPort());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
  }

  void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  void request(String method, String target, String body) throws IOException {
    request(method, target, "", body);
  }

  void request(String method, String target, String fields, String body) throws IOException {
    int length = body.getBytes(StandardCharsets.UTF_8).length;
    write(method + " " + target + " HTTP/1.1\r\nHost: core\r\n" + fields);
    write("Content-Length: " + length + "\r\n\r\n" + body);
  }

  Response read() throws IOException {
    int status = Integer.parseInt(line().split(" ")[1]);
    Map<String, String> fields = new TreeMap<>();
    for (String line = line(); !line.isEmpty(); line = line()) {
      int colon = line.indexOf(':');
      String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
      fields.put(name, line.substring(colon + 1).strip());
    }
    int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
    byte[] body = socket.getInputStream().readNBytes(length);
    return new Response(status, fields, new String(body, StandardCharsets.UTF_8));
  }

  private String line() throws IOException {
    InputStream input = socket.getInputStream();
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        throw new EOFException("connection closed");
      }
      line.write(next);
    }
    return line.toString(StandardCharsets.UTF_8).strip();
  }

  /** Waits for data; whether the server closed the connection instead of sending any. */
  boolean isClosedByServer() throws IOException {
    try {
      return socket.getInputStream().read() < 0;
    } catch (SocketException reset) {
      return true;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
