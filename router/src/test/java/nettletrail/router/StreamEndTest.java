package nettletrail.router;

import static nettletrail.router.ScriptedBackend.eventText;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The ways in which a stream can end after its first event was relayed. */
@Timeout(60)
class StreamEndTest {
  private static final String KEY = RouterFixture.KEY;

  /** How a backend truncates its stream after the first event. */
  private enum Truncation {
    RESET(true, r -> r.reset()),
    RESET_INSIDE_AN_EVENT(
        true,
        r -> {
          r.chunk("id: 2\ndata: tw");
          r.reset();
        }),
    END_WITHOUT_THE_LAST_CHUNK(true, r -> r.finish()),
    END_INSIDE_A_CHUNK(
        true,
        r -> {
          r.write("ff\r\nid: 2\ndata: two\n\n");
          r.finish();
        }),
    BAD_CHUNK_SIZE(true, r -> r.write("zz\r\n")),
    NO_LENGTH_AND_RESET(false, r -> r.reset()),
    NO_LENGTH_AND_END_INSIDE_AN_EVENT(
        false,
        r -> {
          r.write("id: 2\ndata: tw");
          r.finish();
        });

    private final boolean chunked;
    private final Action action;

    Truncation(boolean chunked, Action action) {
      this.chunked = chunked;
      this.action = action;
    }
  }

  /** What the backend does. */
  private interface Action {
    void on(ScriptedBackend.Received request) throws IOException;
  }

  private RouterFixture fixture;
  private ScriptedBackend first;
  private TestClient client;

  @BeforeEach
  void start() throws Exception {
    fixture = RouterFixture.withRetries(RouterFixture.configuration());
    fixture.earnRetries();
    first = fixture.backend("b1");
    client = fixture.client();
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  /** Posts a request and relays the first event of its response. */
  private ScriptedBackend.Received begin(String path, boolean chunked, String event)
      throws Exception {
    client.post(path, "id-1", "", KEY);
    ScriptedBackend.Received request = first.nextRequest();
    if (chunked) {
      request.beginStream();
      request.chunk(event);
    } else {
      request.write("HTTP/1.1 200 OK\r\nX-Backend-Seal: s\r\nX-Attempt-Id: id-1\r\n\r\n" + event);
    }
    assertEquals(200, client.readHead().status());
    assertEquals(event, client.readChunk());
    return request;
  }

  @ParameterizedTest
  @EnumSource(Truncation.class)
  void aTruncatedStreamDoesNotLookComplete(Truncation truncation) throws Exception {
    ScriptedBackend.Received request = begin("/stream/x", truncation.chunked, eventText(1, "one"));
    ScriptedBackend second = fixture.backend("b2");
    truncation.action.on(request);
    assertNull(lastChunk());
    assertEquals(0, second.pendingRequests());
  }

  @ParameterizedTest
  @EnumSource(Truncation.class)
  void aTruncatedStreamIsResumedAtAnotherBackendIfThatIsPermitted(Truncation truncation)
      throws Exception {
    ScriptedBackend.Received request = begin("/resume/x", truncation.chunked, eventText(1, "one"));
    ScriptedBackend second = fixture.backend("b2");
    truncation.action.on(request);
    ScriptedBackend.Received retry = second.nextRequest();
    String lastEventId = retry.header("Last-Event-Id");
    if (lastEventId.equals("2")) {
      assertEquals(eventText(2, "two"), client.readChunk());
    }
    int next = Integer.parseInt(lastEventId) + 1;
    retry.beginStream();
    retry.event(next, "next");
    retry.endStream();
    assertEquals(eventText(next, "next"), client.readChunk());
    assertEquals("", client.readChunk());
  }

  /** The last chunk of the response, or null if the connection closes before it. */
  private String lastChunk() throws IOException {
    String chunk = client.readChunk();
    return eventText(2, "two").equals(chunk) ? client.readChunk() : chunk;
  }

  @Test
  void aStreamWithoutALengthIsCompleteAtTheOrderlyCloseAfterAnEvent() throws Exception {
    ScriptedBackend.Received request = begin("/stream/x", false, eventText(1, "one"));
    request.write(eventText(2, "two"));
    request.finish();
    assertEquals(eventText(2, "two"), client.readChunk());
    assertEquals("", client.readChunk());
  }

  @Test
  void aStreamWithoutEventIdsIsNotResumed() throws Exception {
    ScriptedBackend.Received request = begin("/resume/x", true, "data: one\n\n");
    ScriptedBackend second = fixture.backend("b2");
    request.reset();
    assertNull(client.readChunk());
    assertEquals(0, second.pendingRequests());
  }
}
