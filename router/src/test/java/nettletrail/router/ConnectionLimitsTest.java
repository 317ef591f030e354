package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import nettletrail.configuration.RoutingTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The limits of a client's connection follow the configuration in force. */
@Timeout(30)
class ConnectionLimitsTest {
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

  // Guards against: an open connection keeps the limit of the configuration it was opened under.
  @Test
  void aChangedLimitHoldsForTheNextRequestOfAnOpenConnection() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    setBodyLimit(10);
    client.post("/once/x", "id-1", "0123456789", KEY);
    backend.nextRequest().respond("200 OK", "");
    assertEquals(200, client.read().status());
    setBodyLimit(20);
    client.post("/once/x", "id-2", "0123456789abcdefghij", KEY);
    backend.nextRequest().respond("200 OK", "");
    assertEquals(200, client.read().status());
    setBodyLimit(19);
    client.post("/once/x", "id-3", "0123456789abcdefghij", KEY);
    assertEquals(413, client.read().status());
    assertTrue(client.isClosed());
    TestClient chunked = fixture.client();
    chunked.write(
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\n"
            + KEY
            + "\r\nTransfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\na\r\n0123456789\r\n");
    assertEquals(413, chunked.read().status());
    assertTrue(chunked.isClosed());
    assertEquals(0, backend.pendingRequests());
  }

  private void setBodyLimit(int bytes) throws Exception {
    setLimit("\"body_bytes\":4194304", "\"body_bytes\":" + bytes);
  }

  private void setHeaderLimit(int bytes) throws Exception {
    setLimit("\"header_bytes\":16384", "\"header_bytes\":" + bytes);
  }

  private void setLimit(String before, String after) throws Exception {
    String configuration = RouterFixture.configuration();
    assertTrue(configuration.contains(before));
    RoutingTable table = RouterFixture.table(configuration.replace(before, after));
    fixture.onLoop(() -> fixture.control.routing = table);
  }

  private static String headOf(int valueBytes) {
    return "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id\r\n"
        + KEY
        + "\r\nContent-Length: 0\r\nX-Filler: "
        + "f".repeat(valueBytes)
        + "\r\n\r\n";
  }

  // Guards against review/8: open connections got 400 for heads that a new configuration allows.
  @Test
  void aChangedHeaderLimitHoldsForTheNextRequestOfAnOpenConnection() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    setHeaderLimit(1_000);
    TestClient client = fixture.client();
    client.write(headOf(10));
    backend.nextRequest().respond("200 OK", "");
    assertEquals(200, client.read().status());
    setHeaderLimit(4_000);
    for (int request = 0; request < 2; request++) {
      client.write(headOf(2_000));
      backend.nextRequest().respond("200 OK", "");
      assertEquals(200, client.read().status());
    }
    setHeaderLimit(1_000);
    client.write(headOf(2_000));
    assertEquals(400, client.read().status());
    assertTrue(client.isClosed());
    assertEquals(0, backend.pendingRequests());
  }
}
