package nettletrail.fleet.cli.demonstration;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * One HTTP/1.1 request on a connection of its own. Written over a plain socket, so that it is known
 * which events came before a break, and that nothing is sent again unseen.
 */
final class HttpClientConnection {
  private static final int HEXADECIMAL = 16;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int READ_MARGIN_MS = 1_000;
  private static final String EVENT_ID = "id:";

  private int status;
  private final Map<String, String> headers = new HashMap<>();
  private final List<Integer> eventIds = new ArrayList<>();
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private long firstEventAt;

  private HttpClientConnection() {}

  /** Sends a request and reads the whole answer, or as much as comes within the time. */
  static ClientResponse send(
      InetSocketAddress door, RequestKind kind, String attempt, int timeLeftMs) {
    HttpClientConnection connection = new HttpClientConnection();
    try (Socket socket = new Socket()) {
      try {
        socket.connect(door, CONNECT_TIMEOUT_MS);
      } catch (IOException refused) {
        return ClientResponse.notConnected();
      }
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeLeftMs + READ_MARGIN_MS);
      socket
          .getOutputStream()
          .write(head(kind, attempt, timeLeftMs).getBytes(StandardCharsets.US_ASCII));
      connection.read(new BufferedInputStream(socket.getInputStream()));
      return connection.response(true);
    } catch (IOException broken) {
      return connection.response(false);
    }
  }

  private static String head(RequestKind kind, String attempt, int timeLeftMs) {
    String body = "{}";
    return "POST "
        + kind.path()
        + "1 HTTP/1.1\r\n"
        + "Host: "
        + ConfigurationText.HOST
        + "\r\n"
        + "X-Attempt-Id: "
        + attempt
        + "\r\n"
        + "X-Time-Left: "
        + timeLeftMs
        + "\r\n"
        + "X-Key: "
        + kind.key()
        + "\r\n"
        + (kind.isStream()
            ? "X-Model: m\r\nX-Token-Count: 40,40\r\nX-Prompt-Prefix: 5c1e07a2:30,91bd3f06:10\r\n"
            : "")
        + "Connection: close\r\n"
        + "Content-Type: application/json\r\n"
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private ClientResponse response(boolean complete) {
    return new ClientResponse(
        status, Map.copyOf(headers), firstEventAt, List.copyOf(eventIds), complete, true);
  }

  private void read(InputStream in) throws IOException {
    String statusLine = readLine(in);
    try {
      status = Integer.parseInt(statusLine.split(" ")[1]);
    } catch (ArrayIndexOutOfBoundsException | NumberFormatException malformed) {
      throw new IOException("not a status line: " + statusLine, malformed);
    }
    for (String field = readLine(in); !field.isEmpty(); field = readLine(in)) {
      int colon = field.indexOf(':');
      if (colon > 0) {
        headers.put(
            field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
      }
    }
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      readChunks(in);
    } else {
      bodyBytes(readExactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0"))));
    }
  }

  private void readChunks(InputStream in) throws IOException {
    for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
      bodyBytes(readExactly(in, size));
      readLine(in);
    }
    readLine(in);
  }

  private static int chunkSize(InputStream in) throws IOException {
    String size = readLine(in);
    try {
      return Integer.parseInt(size.split(";")[0].strip(), HEXADECIMAL);
    } catch (NumberFormatException malformed) {
      throw new IOException("not a chunk's size: " + size, malformed);
    }
  }

  private static byte[] readExactly(InputStream in, int count) throws IOException {
    byte[] bytes = in.readNBytes(count);
    if (bytes.length < count) {
      throw new IOException("the connection ended within the body");
    }
    return bytes;
  }

  /** Notes the ids of the events whose lines end in these bytes. */
  private void bodyBytes(byte[] bytes) {
    if (firstEventAt == 0 && bytes.length > 0) {
      firstEventAt = System.nanoTime();
    }
    for (byte each : bytes) {
      if (each != '\n') {
        line.write(each);
        continue;
      }
      String text = line.toString(StandardCharsets.UTF_8);
      line.reset();
      if (text.startsWith(EVENT_ID)) {
        eventIds.add(Integer.parseInt(text.substring(EVENT_ID.length()).strip()));
      }
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    for (int each = in.read(); each != '\n'; each = in.read()) {
      if (each < 0) {
        throw new IOException("the connection ended");
      }
      if (each != '\r') {
        text.write(each);
      }
    }
    return text.toString(StandardCharsets.ISO_8859_1);
  }
}
