package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Responses without a body, by method, status, framing and kind of route (RFC 9112, 6.3). */
@Timeout(30)
class BodilessResponseTest {
  private static final List<String> PREFIXES = List.of("once", "again", "stream", "resume");
  private static final List<String> FRAMINGS =
      List.of("Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "");
  private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\n\r\n";

  private RouterFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new RouterFixture(RouterFixture.configuration());
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  static Stream<Arguments> cases() {
    return PREFIXES.stream()
        .flatMap(
            prefix ->
                FRAMINGS.stream()
                    .flatMap(
                        framing ->
                            Stream.of(
                                Arguments.of("HEAD", prefix, "200 OK", "", framing),
                                Arguments.of("HEAD", prefix, "200 OK", INTERIM, framing),
                                Arguments.of("HEAD", prefix, "404 Not Found", "", framing),
                                Arguments.of("GET", prefix, "204 No Content", "", framing),
                                Arguments.of(
                                    "GET", prefix, "304 Not Modified", INTERIM, framing))));
  }

  // Guards against: a chunk terminator behind a response to HEAD begins the client's next response.
  @ParameterizedTest
  @MethodSource("cases")
  void givenABodilessResponse_whenAnotherRequestFollows_thenItsResponseComesNext(
      String method, String prefix, String status, String interim, String framing)
      throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.write(
        method
            + " /"
            + prefix
            + "/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\n"
            + RouterFixture.KEY
            + "\r\n\r\n");
    ScriptedBackend.Received request = backend.nextRequest();
    assertTrue(request.startLine.startsWith(method), request.startLine);
    request.write(
        interim
            + "HTTP/1.1 "
            + status
            + "\r\nX-Backend-Seal: s\r\nX-Attempt-Id: id-1\r\n"
            + framing
            + "\r\n");
    TestClient.Response response = client.readHead();
    assertEquals(Integer.parseInt(status.substring(0, 3)), response.status());
    client.post("/once/x", "id-2", "", RouterFixture.KEY);
    backend.nextRequest().respond("200 OK", "two");
    TestClient.Response next = client.read();
    assertEquals(200, next.status());
    assertEquals("two", next.body());
  }
}
