package nettletrail.router;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A client's connection, read byte by byte. */
final class TestClient implements AutoCloseable {
  private static final int TIMEOUT_MS = 10_000;

  /** A response; {@code complete} says whether its framing ended. */
  record Response(int status, Map<String, String> headers, String body, boolean complete) {
    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }
  }

  private final Socket socket;
  private final InputStream in;

  TestClient(InetSocketAddress router) throws IOException {
    socket = new Socket(router.getAddress(), router.getPort());
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(TIMEOUT_MS);
    in = socket.getInputStream();
  }

  void write(String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Sends a request with the headers that all requests have. */
  void post(String path, String id, String body, String... headers) throws IOException {
    StringBuilder request = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: a.example\r\n");
    request.append("X-Attempt-Id: ").append(id).append("\r\n");
    for (String header : headers) {
      request.append(header).append("\r\n");
    }
    request.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
    write(request.toString());
  }

  Response read() throws IOException {
    Response head = readHead();
    String encoding = head.header("Transfer-Encoding");
    if (encoding != null) {
      StringBuilder body = new StringBuilder();
      String chunk = readChunk();
      while (chunk != null && !chunk.isEmpty()) {
        body.append(chunk);
        chunk = readChunk();
      }
      return new Response(head.status, head.headers, body.toString(), chunk != null);
    }
    int length = Integer.parseInt(head.headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    return new Response(
        head.status,
        head.headers,
        new String(body, StandardCharsets.ISO_8859_1),
        body.length == length);
  }

  /** The response, or null if no byte of it is available. */
  Response readIfAvailable() throws IOException {
    return in.available() > 0 ? read() : null;
  }

  Response readHead() throws IOException {
    String start = line();
    if (start == null) {
      throw new IOException("closed before an answer");
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(); line != null && !line.isEmpty(); line = line()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return new Response(Integer.parseInt(start.split(" ")[1]), headers, "", false);
  }

  /** The next chunk; empty for the last one, null if the connection closed before it. */
  String readChunk() throws IOException {
    String size = line();
    if (size == null) {
      return null;
    }
    byte[] data = in.readNBytes(Integer.parseInt(size, 16));
    line();
    return new String(data, StandardCharsets.ISO_8859_1);
  }

  /** Closes the sending side; the client still reads. */
  void endSending() throws IOException {
    socket.shutdownOutput();
  }

  /** Waits for the router to close the connection, or for more bytes; whether it is closed. */
  boolean isClosed() throws IOException {
    try {
      return in.read() < 0;
    } catch (java.net.SocketException e) {
      return true;
    }
  }

  private String line() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    try {
      for (int next = in.read(); next != '\n'; next = in.read()) {
        if (next < 0) {
          return null;
        }
        if (next != '\r') {
          line.write(next);
        }
      }
    } catch (java.net.SocketException e) {
      return null; // reset
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
