package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Headers of requests to backends and of their responses; one rule a test. */
@Timeout(30)
class RouterHeadersTest {
  private static final String[] DESCRIPTION = {
    RouterFixture.KEY,
    "X-Model: m-1",
    "X-Token-Count: 120,40",
    "X-Prompt-Prefix: 5c1e07a2:80,91bd3f06:40",
    "Expect-Version: 7",
  };
  private RouterFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new RouterFixture(RouterFixture.configuration());
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  private static void assertAsTheClientSentIt(ScriptedBackend.Received request) {
    assertEquals("m-1", request.header("X-Model"));
    assertEquals("120,40", request.header("X-Token-Count"));
    assertEquals("5c1e07a2:80,91bd3f06:40", request.header("X-Prompt-Prefix"));
    assertEquals("7", request.header("Expect-Version"));
  }

  @Test
  void endToEndHeadersReachEachBackendUnchanged() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/resume/x", "id-1", "", DESCRIPTION);
    ScriptedBackend.Received request = first.nextRequest();
    assertAsTheClientSentIt(request);
    request.beginStream();
    request.event(1, "one");
    client.readHead();
    client.readChunk();
    ScriptedBackend second = fixture.backend("b2");
    request.reset();
    ScriptedBackend.Received resumed = second.nextRequest();
    assertEquals("1", resumed.header("Last-Event-Id"));
    assertAsTheClientSentIt(resumed);
  }

  @Test
  void aConnectionHeaderRemovesNoEndToEndHeader() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post(
        "/once/x",
        "id-1",
        "",
        RouterFixture.KEY,
        "X-Model: m-1",
        "X-Token-Count: 120,40",
        "X-Prompt-Prefix: 5c1e07a2:80",
        "Last-Event-Id: 3",
        "X-Hop: 1",
        "Connection: x-hop, host, x-attempt-id, x-model, x-token-count, x-prompt-prefix,"
            + " last-event-id, x-deliver-to, x-sender");
    ScriptedBackend.Received request = backend.nextRequest();
    assertEquals("a.example", request.header("Host"));
    assertEquals("id-1", request.id());
    assertEquals("m-1", request.header("X-Model"));
    assertEquals("120,40", request.header("X-Token-Count"));
    assertEquals("5c1e07a2:80", request.header("X-Prompt-Prefix"));
    assertEquals("3", request.header("Last-Event-Id"));
    assertEquals("b1", request.header("X-Deliver-To"));
    assertEquals("tenant-1", request.header("X-Sender"));
    assertNull(request.header("X-Hop"));
  }

  @Test
  void theModelVersionReachesTheClient() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", RouterFixture.KEY);
    backend.nextRequest().respond("200 OK", "", "Versions: 8");
    assertEquals("8", client.read().header("Versions"));
  }

  @Test
  void aBackendWithAnotherModelVersionHasNotRunTheRequest() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", DESCRIPTION);
    ScriptedBackend.Received request = first.nextRequest();
    ScriptedBackend second = fixture.backend("b2");
    request.notRun("421 Misdirected Request");
    second.nextRequest().respond("200 OK", "ran");
    assertEquals("ran", client.read().body());
  }
}
