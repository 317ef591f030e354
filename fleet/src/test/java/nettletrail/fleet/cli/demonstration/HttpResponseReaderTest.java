package nettletrail.fleet.cli.demonstration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Malformed responses end as I/O failures, which a client thread handles. */
class HttpResponseReaderTest {
  private final HttpResponseReader reader = new HttpResponseReader();

  @Test
  void readsTheIdsOfAStreamsEvents() throws IOException {
    reader.read(response("Content-Length: 12\r\n\r\nid: 3\nid: 4\n"));
    assertEquals(List.of(3, 4), reader.response(true).eventIds());
  }

  @ParameterizedTest
  @ValueSource(strings = {"x", "-1", "99999999999", ""})
  void malformedContentLengthIsAnIoFailure(String length) {
    InputStream in = response("Content-Length: " + length + "\r\n\r\n");
    assertThrows(IOException.class, () -> reader.read(in));
  }

  @ParameterizedTest
  @ValueSource(strings = {"x", "99999999999", ""})
  void malformedEventIdIsAnIoFailure(String id) {
    String line = "id: " + id + "\n";
    InputStream in = response("Content-Length: " + line.length() + "\r\n\r\n" + line);
    assertThrows(IOException.class, () -> reader.read(in));
  }

  private static InputStream response(String afterStatus) {
    String text = "HTTP/1.1 200 OK\r\n" + afterStatus;
    return new ByteArrayInputStream(text.getBytes(StandardCharsets.ISO_8859_1));
  }
}
