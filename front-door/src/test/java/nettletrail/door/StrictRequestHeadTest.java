package nettletrail.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import nettletrail.decision.Gateway;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Request heads that two parsers could read differently: none reaches the decision module, and
 * other requests of the connection are served.
 */
@Timeout(60)
class StrictRequestHeadTest {
  @TempDir private Path folder;
  private FrontDoorFixture fixture;
  private ServerSocket backend;
  private final List<Gateway.Request> heard = new ArrayList<>();

  @BeforeEach
  void setUp() throws Exception {
    fixture = new FrontDoorFixture(folder);
    backend = fixture.backend();
    fixture.start(
        new FrontDoorFixture.ScriptedGateway() {
          private long node;

          @Override
          public void onBackends(long now, boolean whole, List<Backend> entries) {
            node = entries.isEmpty() ? node : entries.get(0).id();
          }

          @Override
          public void onRequest(long now, Request request) {
            heard.add(request);
            actions.send(request.id(), node, 0);
          }
        }.factory(),
        FrontDoorFixture.entry("s-1", backend.getLocalPort(), "SERVING"));
  }

  @AfterEach
  void tearDown() throws Exception {
    fixture.close();
  }

  private static String requestWithHeader(String line) {
    return FrontDoorFixture.request("look", "a1", 3000, "")
        .replace("\r\n\r\n", "\r\n" + line + "\r\n\r\n");
  }

  /**
   * The request is answered with 400 and not forwarded, and the next request of the connection is
   * served.
   */
  private void assertRejectedAndConnectionKept(String request, String told) throws Exception {
    TestPeer client =
        fixture.client().write(request + FrontDoorFixture.request("look", "b2", 3000, ""));
    TestPeer.Message answer = client.read();
    assertEquals(400, answer.status());
    assertTrue(answer.body().contains(told), answer.body());
    try (TestPeer server = TestPeer.accept(backend)) {
      assertEquals(
          FrontDoorFixture.requestId("b2"),
          server.read().header("X-Txn"),
          "the refused one came through");
      server.answer("200 OK", "", "served");
      assertEquals("served", client.read().body());
    }
  }

  /** The connection is closed, as the start of the next request is ambiguous. */
  private void assertRejectedAndClosed(String request, int status, String told) throws IOException {
    TestPeer client = fixture.client().write(request);
    TestPeer.Message answer = client.read();
    assertEquals(status, answer.status());
    assertTrue(answer.body().contains(told), answer.body());
    assertTrue(client.isClosedByPeer());
    assertEquals(0, heard.size());
  }

  @ParameterizedTest
  @CsvSource({
    "X-Txn,00000000000000a2",
    "X-Customer,00000000b4d65522",
    "X-Lane,buy",
    "X-Plan,team",
    "X-Remaining-Ms,9000",
    "X-Quota,'units=1,spread=1,first=0'",
    "Host,other"
  })
  void duplicateHeaderIsRejected(String name, String value) throws Exception {
    assertRejectedAndConnectionKept(
        requestWithHeader(name + ": " + value), name + " is there twice");
  }

  @ParameterizedTest
  @ValueSource(strings = {"x-txn", "X-CUSTOMER"})
  void duplicateHeaderIsRejectedInAnyCaseAndWithEqualValues(String name) throws Exception {
    String value = name.equals("x-txn") ? FrontDoorFixture.requestId("a1") : "00000000b4d65521";
    assertRejectedAndConnectionKept(requestWithHeader(name + ": " + value), "is there twice");
  }

  @Test
  void duplicateCredentialsAreRejectedAndNotEchoed() throws Exception {
    String request =
        requestWithHeader("Authorization: Bearer tok-a\r\nAuthorization: Bearer tok-b");
    TestPeer client = fixture.client().write(request);
    TestPeer.Message answer = client.read();
    assertEquals(400, answer.status());
    assertFalse((answer.head() + answer.body()).contains("tok-"), answer.body());
    assertRejectedAndConnectionKept(request, "Authorization is there twice");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "units=1,units=5,spread=1,first=0",
        "units=1,spread=1,spread=1,first=0",
        "units=1,spread=1,first=0,first=0"
      })
  void duplicatePairIsRejected(String quota) throws Exception {
    assertRejectedAndConnectionKept(
        FrontDoorFixture.request("look", "a1", 3000, "").replace("units=2,spread=1,first=0", quota),
        "");
  }

  @ParameterizedTest
  @ValueSource(strings = {"Host: a, b", "Host: a b", "Host: a/b", "Host: u@a", "Host: a:8x"})
  void invalidHostIsRejected(String host) throws Exception {
    assertRejectedAndConnectionKept(
        FrontDoorFixture.request("look", "a1", 3000, "").replace("Host: service.internal", host),
        "Host: it must be");
  }

  @Test
  void missingHostIsRejected() throws Exception {
    assertRejectedAndConnectionKept(
        FrontDoorFixture.request("look", "a1", 3000, "").replace("Host: service.internal\r\n", ""),
        "Host is missing");
    assertEquals(400, fixture.client().write("GET /-/ready HTTP/1.1\r\n\r\n").read().status());
  }

  @Test
  void http10RequestNeedsNoHost() throws Exception {
    TestPeer client =
        fixture
            .client()
            .write(
                FrontDoorFixture.request("look", "a1", 3000, "")
                    .replace("Host: service.internal\r\n", "")
                    .replace("HTTP/1.1", "HTTP/1.0"));
    try (TestPeer server = TestPeer.accept(backend)) {
      server.read();
      server.answer("200 OK", "", "served");
      assertEquals("served", client.read().body());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"HTTP/2.0", "HTTP/3.0", "HTTP/0.9"})
  void unsupportedHttpVersionIsRejected(String version) throws Exception {
    assertRejectedAndClosed(
        FrontDoorFixture.request("look", "a1", 3000, "").replace("HTTP/1.1", version),
        505,
        "HTTP/1.1");
  }

  /** RFC 9113 section 3.4: the first bytes of an HTTP/2 client. */
  @Test
  void http2PrefaceIsRejected() throws Exception {
    assertRejectedAndClosed("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505, "HTTP/1.1");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"PRI *", "GET *", "GET api", "GET http:///api", "GET http://h?x", "CONNECT h:80"})
  void invalidRequestTargetIsRejected(String start) throws Exception {
    assertRejectedAndConnectionKept(start + " HTTP/1.1\r\nHost: h\r\n\r\n", "target");
  }

  @Test
  void absoluteFormTargetIsReducedToItsPath() throws Exception {
    TestPeer client =
        fixture
            .client()
            .write(
                FrontDoorFixture.request("look", "a1", 3000, "")
                    .replace("/api/x?y=1", "http://gw:80/api/x?y=1"));
    try (TestPeer server = TestPeer.accept(backend)) {
      assertEquals("GET /api/x?y=1 HTTP/1.1", server.read().start());
      server.answer("200 OK", "", "served");
      assertEquals("served", client.read().body());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {" folded", "\tX-Customer: 00000000b4d65522"})
  void foldedHeaderLineIsRejected(String line) throws Exception {
    assertRejectedAndClosed(requestWithHeader(line), 400, "white space");
  }

  @Test
  void whitespaceBeforeTheFirstHeaderIsRejected() throws Exception {
    assertRejectedAndClosed(
        FrontDoorFixture.request("look", "a1", 3000, "").replace("\r\nHost", "\r\n Host"),
        400,
        "white space");
  }
}
