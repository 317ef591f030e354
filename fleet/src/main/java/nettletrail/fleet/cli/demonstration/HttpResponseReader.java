package nettletrail.fleet.cli.demonstration;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Reads one HTTP/1.1 response and the ids of the events in its body. What was read before a failure
 * stays available. Used once, by one thread.
 */
final class HttpResponseReader {
  private static final int HEXADECIMAL = 16;
  private static final String EVENT_ID = "id:";
  private static final String CONTENT_LENGTH = "content-length";

  private int status;
  private final Map<String, String> headers = new HashMap<>();
  private final List<Integer> eventIds = new ArrayList<>();
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private long firstEventAt;

  /**
   * What has been received so far.
   *
   * @param complete whether the response was read to its end
   */
  ClientResponse response(boolean complete) {
    return new ClientResponse(
        status, Map.copyOf(headers), firstEventAt, List.copyOf(eventIds), complete, true);
  }

  /**
   * Reads a response to its end.
   *
   * @throws IOException if the connection fails or the response is malformed
   */
  void read(InputStream in) throws IOException {
    readHead(in);
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      readChunks(in);
    } else {
      addBody(readExactly(in, contentLength()));
    }
  }

  private int contentLength() throws IOException {
    int length = number(headers.getOrDefault(CONTENT_LENGTH, "0"), CONTENT_LENGTH);
    if (length < 0) {
      throw new IOException("not a " + CONTENT_LENGTH + ": " + length);
    }
    return length;
  }

  private static int number(String text, String what) throws IOException {
    try {
      return Integer.parseInt(text.strip());
    } catch (NumberFormatException malformed) {
      throw new IOException("not a " + what + ": " + text, malformed);
    }
  }

  private void readHead(InputStream in) throws IOException {
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
  }

  private void readChunks(InputStream in) throws IOException {
    for (int size = readChunkSize(in); size > 0; size = readChunkSize(in)) {
      addBody(readExactly(in, size));
      readLine(in);
    }
    readLine(in);
  }

  private static int readChunkSize(InputStream in) throws IOException {
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

  /** Adds the ids of the events whose lines end in these bytes. */
  private void addBody(byte[] bytes) throws IOException {
    if (firstEventAt == 0 && bytes.length > 0) {
      firstEventAt = System.nanoTime();
    }
    for (byte next : bytes) {
      if (next != '\n') {
        line.write(next);
        continue;
      }
      String text = line.toString(StandardCharsets.UTF_8);
      line.reset();
      if (text.startsWith(EVENT_ID)) {
        eventIds.add(number(text.substring(EVENT_ID.length()), "event id"));
      }
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new IOException("the connection ended");
      }
      if (next != '\r') {
        text.write(next);
      }
    }
    return text.toString(StandardCharsets.ISO_8859_1);
  }
}
