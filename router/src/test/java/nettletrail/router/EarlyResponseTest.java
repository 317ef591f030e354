package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A backend that responds before it has read the body, and continues to read later. */
@Timeout(60)
class EarlyResponseTest {
  private static final String KEY = RouterFixture.KEY;
  private static final int LONG_BODY_BYTES = 4_100_000;
  private static final int SHORT_BODY_BYTES = 20_000;
  private RouterFixture fixture;
  private RawBackend backend;
  private TestClient client;

  @BeforeEach
  void start() throws Exception {
    fixture = RouterFixture.withRetries(RouterFixture.configuration());
    backend = new RawBackend("b1");
    fixture.backends("s", List.of(backend.endpoint()));
    client = fixture.client();
  }

  @AfterEach
  void stop() throws Exception {
    backend.close();
    fixture.close();
  }

  private static String response(String id, String body) {
    return "HTTP/1.1 200 OK\r\nX-Backend-Seal: s\r\nX-Attempt-Id: "
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  @Test
  void noOtherBytesFollowAnIncompleteBody() throws Exception {
    String body = "b".repeat(LONG_BODY_BYTES);
    client.post("/once/x", "id-1", body, KEY);
    RawBackend.Connection first = backend.accept();
    first.readHead();
    first.write(response("id-1", "one"));
    assertEquals("one", client.read().body());
    client.post("/once/x", "id-2", "next", KEY);
    RawBackend.Connection second = backend.accept();
    assertTrue(second.readHead().contains("X-Attempt-Id: id-2\r\n"));
    assertEquals("next", second.read("next".length()));
    second.write(response("id-2", "two"));
    assertEquals("two", client.read().body());
    assertTrue(body.startsWith(first.readToEnd()));
  }

  @Test
  void aConnectionIsReusableOnceTheCompleteBodyIsWritten() throws Exception {
    String body = "b".repeat(SHORT_BODY_BYTES);
    client.post("/once/x", "id-1", body, KEY);
    RawBackend.Connection connection = backend.accept();
    connection.readHead();
    connection.write(response("id-1", "one"));
    assertEquals("one", client.read().body());
    client.post("/once/x", "id-2", "next", KEY);
    assertEquals(body, connection.read(SHORT_BODY_BYTES));
    assertTrue(connection.readHead().contains("X-Attempt-Id: id-2\r\n"));
    assertEquals("next", connection.read("next".length()));
    connection.write(response("id-2", "two"));
    assertEquals("two", client.read().body());
  }

  @Test
  void theBodyIsSentCompletelyWhileAnEarlyStreamIsRelayed() throws Exception {
    String body = "b".repeat(LONG_BODY_BYTES);
    client.post("/stream/x", "id-1", body, KEY);
    RawBackend.Connection connection = backend.accept();
    connection.readHead();
    connection.write(
        "HTTP/1.1 200 OK\r\nX-Backend-Seal: s\r\nX-Attempt-Id: id-1\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n");
    String event = ScriptedBackend.eventText(1, "one");
    connection.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    assertEquals(200, client.readHead().status());
    assertEquals(event, client.readChunk());
    assertEquals(body, connection.read(LONG_BODY_BYTES));
    connection.write("0\r\n\r\n");
    assertEquals("", client.readChunk());
  }
}
