package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Where a backend's response ends, and what the client receives of it. */
@Timeout(30)
class RouterResponseFramingTest {
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
  void a204HasNoContentLength() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    backend
        .nextRequest()
        .write(
            "HTTP/1.1 204 No Content\r\nX-Backend-Seal: s\r\nX-Attempt-Id: id-1\r\n"
                + "Content-Length: 5\r\n\r\n");
    TestClient.Response response = client.readHead();
    assertEquals(204, response.status());
    assertNull(response.header("Content-Length"));
    client.post("/once/x", "id-2", "", KEY);
    backend.nextRequest().respond("200 OK", "two");
    assertEquals("two", client.read().body());
  }

  @Test
  void aResponseToHeadHasNoBodyDespiteItsContentLength() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.write(
        "HEAD /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\n" + KEY + "\r\n\r\n");
    ScriptedBackend.Received head = backend.nextRequest();
    assertEquals("HEAD /once/x HTTP/1.1", head.startLine);
    head.write(
        "HTTP/1.1 200 OK\r\nX-Backend-Seal: s\r\nX-Attempt-Id: id-1\r\nContent-Length: 5\r\n\r\n");
    TestClient.Response response = client.readHead();
    assertEquals(200, response.status());
    assertEquals("5", response.header("Content-Length"));
    client.post("/once/x", "id-2", "", KEY);
    backend.nextRequest().respond("200 OK", "two");
    assertEquals("two", client.read().body());
  }

  @Test
  void aResponseWithoutALengthIsCompleteAtTheOrderlyCloseOfItsConnection() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received request = backend.nextRequest();
    request.write("HTTP/1.1 200 OK\r\nX-Backend-Seal: s\r\nX-Attempt-Id: id-1\r\n\r\nwhole");
    request.finish();
    TestClient.Response response = client.read();
    assertEquals(200, response.status());
    assertEquals("whole", response.body());
    assertEquals("5", response.header("Content-Length"));
    client.post("/once/x", "id-2", "", KEY);
    ScriptedBackend.Received next = backend.nextRequest();
    assertEquals(2, next.connection);
    next.respond("200 OK", "");
    assertEquals(200, client.read().status());
  }

  @Test
  void aResponseWithoutALengthIsInvalidIfItsConnectionIsReset() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received request = backend.nextRequest();
    request.write("HTTP/1.1 200 OK\r\nX-Backend-Seal: s\r\nX-Attempt-Id: id-1\r\n\r\npart");
    request.reset();
    assertEquals(502, client.read().status());
  }

  @Test
  void aTruncatedResponseIsInvalid() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received request = backend.nextRequest();
    request.write(
        "HTTP/1.1 200 OK\r\nX-Backend-Seal: s\r\nX-Attempt-Id: id-1\r\n"
            + "Content-Length: 10\r\n\r\npart");
    request.reset();
    assertEquals(502, client.read().status());
  }
}
