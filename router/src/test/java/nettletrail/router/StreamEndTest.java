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

/** The ways in which a stream can end after its first event has been passed on. */
@Timeout(60)
class StreamEndTest {
  private static final String KEY = RouterFixture.KEY;

  /** How a backend breaks its stream off behind the first event. */
  private enum Cut {
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
    private final Act act;

    Cut(boolean chunked, Act act) {
      this.chunked = chunked;
      this.act = act;
    }
  }

  /** What the backend does. */
  private interface Act {
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

  /** Posts a request and passes a first event of its answer. */
  private ScriptedBackend.Received begin(String path, boolean chunked, String event)
      throws Exception {
    client.post(path, "id-1", "", KEY);
    ScriptedBackend.Received request = first.take();
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
  @EnumSource(Cut.class)
  void aStreamThatIsCutDoesNotLookComplete(Cut cut) throws Exception {
    ScriptedBackend.Received request = begin("/stream/x", cut.chunked, eventText(1, "one"));
    ScriptedBackend second = fixture.backend("b2");
    cut.act.on(request);
    assertNull(lastChunk());
    assertEquals(0, second.untaken());
  }

  @ParameterizedTest
  @EnumSource(Cut.class)
  void aStreamThatIsCutIsTakenUpElsewhereWhereItMayBe(Cut cut) throws Exception {
    ScriptedBackend.Received request = begin("/resume/x", cut.chunked, eventText(1, "one"));
    ScriptedBackend second = fixture.backend("b2");
    cut.act.on(request);
    ScriptedBackend.Received again = second.take();
    String passedOn = again.header("Last-Event-Id");
    if (passedOn.equals("2")) {
      assertEquals(eventText(2, "two"), client.readChunk());
    }
    int next = Integer.parseInt(passedOn) + 1;
    again.beginStream();
    again.event(next, "next");
    again.endStream();
    assertEquals(eventText(next, "next"), client.readChunk());
    assertEquals("", client.readChunk());
  }

  /** The chunk that ends the answer, or null if the connection ends before it. */
  private String lastChunk() throws IOException {
    String chunk = client.readChunk();
    return eventText(2, "two").equals(chunk) ? client.readChunk() : chunk;
  }

  @Test
  void aStreamWithoutALengthIsWholeAtTheOrderlyEndBehindAnEvent() throws Exception {
    ScriptedBackend.Received request = begin("/stream/x", false, eventText(1, "one"));
    request.write(eventText(2, "two"));
    request.finish();
    assertEquals(eventText(2, "two"), client.readChunk());
    assertEquals("", client.readChunk());
  }

  @Test
  void aStreamWhoseEventsHaveNoIdsIsNotTakenUp() throws Exception {
    ScriptedBackend.Received request = begin("/resume/x", true, "data: one\n\n");
    ScriptedBackend second = fixture.backend("b2");
    request.reset();
    assertNull(client.readChunk());
    assertEquals(0, second.untaken());
  }
}
