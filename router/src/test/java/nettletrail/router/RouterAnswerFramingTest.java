package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Where a backend's answer ends, and what the client gets of it. */
@Timeout(30)
class RouterAnswerFramingTest {
  private static final String KEY = RouterFixture.KEY;
  private RouterFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new RouterFixture(RouterFixture.configuration());
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  @Test
  void a204TellsNoLength() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    backend
        .take()
        .write(
            "HTTP/1.1 204 No Content\r\nX-Backend-Seal: s\r\nX-Attempt-Id: id-1\r\n"
                + "Content-Length: 5\r\n\r\n");
    TestClient.Answer answer = client.readHead();
    assertEquals(204, answer.status());
    assertNull(answer.header("Content-Length"));
    client.post("/once/x", "id-2", "", KEY);
    backend.take().answer("200 OK", "two");
    assertEquals("two", client.read().body());
  }

  @Test
  void anAnswerToHeadHasNoBodyWhateverItsLengthSays() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.write(
        "HEAD /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\n" + KEY + "\r\n\r\n");
    ScriptedBackend.Received head = backend.take();
    assertEquals("HEAD /once/x HTTP/1.1", head.startLine);
    head.write(
        "HTTP/1.1 200 OK\r\nX-Backend-Seal: s\r\nX-Attempt-Id: id-1\r\nContent-Length: 5\r\n\r\n");
    TestClient.Answer answer = client.readHead();
    assertEquals(200, answer.status());
    assertEquals("5", answer.header("Content-Length"));
    client.post("/once/x", "id-2", "", KEY);
    backend.take().answer("200 OK", "two");
    assertEquals("two", client.read().body());
  }

  @Test
  void anAnswerWithoutALengthIsWholeAtTheOrderlyEndOfItsConnection() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received request = backend.take();
    request.write("HTTP/1.1 200 OK\r\nX-Backend-Seal: s\r\nX-Attempt-Id: id-1\r\n\r\nwhole");
    request.finish();
    TestClient.Answer answer = client.read();
    assertEquals(200, answer.status());
    assertEquals("whole", answer.body());
    assertEquals("5", answer.header("Content-Length"));
    client.post("/once/x", "id-2", "", KEY);
    ScriptedBackend.Received next = backend.take();
    assertEquals(2, next.connection);
    next.answer("200 OK", "");
    assertEquals(200, client.read().status());
  }

  @Test
  void anAnswerWithoutALengthWhoseConnectionIsResetIsNone() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received request = backend.take();
    request.write("HTTP/1.1 200 OK\r\nX-Backend-Seal: s\r\nX-Attempt-Id: id-1\r\n\r\npart");
    request.reset();
    assertEquals(502, client.read().status());
  }

  @Test
  void anAnswerThatIsCutOffIsNone() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received request = backend.take();
    request.write(
        "HTTP/1.1 200 OK\r\nX-Backend-Seal: s\r\nX-Attempt-Id: id-1\r\n"
            + "Content-Length: 10\r\n\r\npart");
    request.reset();
    assertEquals(502, client.read().status());
  }
}
