package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.Callable;
import nettletrail.configuration.RoutingTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** New and unconfirmed routing tables while requests are in progress; one rule a test. */
@Timeout(30)
class RouterRoutingChangeTest {
  private static final String KEY = RouterFixture.KEY;
  private RouterFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new RouterFixture(patient(RouterFixture.configuration()));
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  /** Requests stay queued as long as the test needs. */
  private static String patient(String configuration) {
    return configuration.replace("\"target_ms\":1000", "\"target_ms\":60000");
  }

  /** All routes go to service {@code t}; {@code s} is removed. */
  private static RoutingTable movedToT() throws Exception {
    return RouterFixture.table(
        RouterFixture.configuration(6, "\"key-1\"")
            .replace("\"carrier\":\"s\"", "\"carrier\":\"t\"")
            .replace("{\"name\":\"s\"", "{\"name\":\"t\""));
  }

  /** All routes go to service {@code t}; {@code s} still exists. */
  private static RoutingTable movedToTBesideS() throws Exception {
    String service =
        "{\"name\":\"%s\",\"health_path\":\"/health\",\"conn_cap\":100,"
            + "\"protocol\":\"h1\",\"tls\":false}";
    return RouterFixture.table(
        RouterFixture.configuration(6, "\"key-1\"")
            .replace("\"carrier\":\"s\"", "\"carrier\":\"t\"")
            .replace(
                service.formatted("s"), service.formatted("s") + "," + service.formatted("t")));
  }

  private void route(RoutingTable routing) throws Exception {
    fixture.onLoop(
        () -> {
          fixture.control.routing = routing;
          fixture.control.tokens = 10_000;
          fixture.router.routingChanged();
          return null;
        });
  }

  @Test
  void aQueuedRequestFollowsItsRouteToAnotherService() throws Exception {
    ScriptedBackend before = fixture.backend("b1");
    ScriptedBackend after = fixture.backendOf("t", "b2");
    fixture.onLoop(() -> fixture.control.tokens = 0);
    TestClient client = fixture.client();
    var keysRead = fixture.latchOnKeysConfirmedRead(2);
    client.post("/once/x", "id-1", "", KEY);
    keysRead.await();
    route(movedToTBesideS());
    after.nextRequest().respond("200 OK", "");
    assertEquals(200, client.read().status());
    assertEquals(0, before.pendingRequests());
  }

  @Test
  void aRequestQueuedForARemovedServiceFollowsItsRoute() throws Exception {
    ScriptedBackend after = fixture.backendOf("t", "b2");
    TestClient client = fixture.client();
    var keysRead = fixture.latchOnKeysConfirmedRead(1);
    client.post("/once/x", "id-1", "", KEY);
    keysRead.await();
    route(movedToT());
    after.nextRequest().respond("200 OK", "");
    assertEquals(200, client.read().status());
  }

  @Test
  void aSentRequestIsAnsweredThoughItsRouteServiceAndBackendAreRemoved() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient complete = fixture.client();
    complete.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received first = backend.nextRequest();
    TestClient streaming = fixture.client();
    streaming.post("/stream/x", "id-2", "", KEY);
    ScriptedBackend.Received second = backend.nextRequest();
    second.beginStream();
    second.event(1, "one");
    streaming.readHead();
    streaming.readChunk();
    route(
        RouterFixture.table(
            RouterFixture.configuration(6, "\"key-3\"")
                .replace("/once/", "/elsewhere/")
                .replace("/stream/", "/nowhere/")
                .replace("\"carrier\":\"s\"", "\"carrier\":\"t\"")
                .replace("{\"name\":\"s\"", "{\"name\":\"t\"")
                .replace("\"idle_ms\":15000", "\"idle_ms\":1")));
    fixture.backends("s", List.of());
    fixture.onLoop(
        () -> {
          fixture.router.tick(System.nanoTime());
          return null;
        });
    first.respond("200 OK", "whole");
    assertEquals("whole", complete.read().body());
    second.event(2, "two");
    assertEquals(ScriptedBackend.eventText(2, "two"), streaming.readChunk());
    second.endStream();
    assertEquals("", streaming.readChunk());
  }

  @Test
  void aRetryThatTheNewRoutingTableForbidsIsNotSent() throws Exception {
    fixture.earnRetries();
    ScriptedBackend first = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/again/x", "id-1", "", KEY);
    ScriptedBackend.Received request = first.nextRequest();
    ScriptedBackend second = fixture.backend("b2");
    RoutingTable oneAttempt =
        RouterFixture.table(
            RouterFixture.configuration(6, "\"key-1\"")
                .replace("\"attempts\":2", "\"attempts\":1"));
    fixture.onLoop(
        (Callable<Void>)
            () -> {
              // Read when the retry budget is checked, after the limit of attempts.
              fixture.control.onDoorCountRead = () -> fixture.control.routing = oneAttempt;
              return null;
            });
    request.reset();
    assertEquals(502, client.read().status());
    assertEquals(0, second.pendingRequests());
  }

  // Guards against: requests with a revoked key, or without one, run once no tenant is left.
  @Test
  void noKeyIsAcceptedAfterTheRemovalOfTheLastTenant() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    String configuration = RouterFixture.configuration(6, "\"key-1\"");
    int tenants = configuration.indexOf("\"senders\"");
    route(RouterFixture.table(configuration.substring(0, tenants) + "\"senders\":[]}"));
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    assertEquals(401, client.read().status());
    client.post("/once/x", "id-2", "");
    assertEquals(401, client.read().status());
    client.post("/open/x", "id-3", "");
    backend.nextRequest().respond("200 OK", "");
    assertEquals(200, client.read().status());
    fixture.onLoop(() -> fixture.control.confirmed = false);
    client.post("/once/x", "id-4", "", KEY);
    assertEquals(503, client.read().status());
    assertFalse(fixture.onLoop(fixture.router::isReady));
  }

  @Test
  void anUnconfirmedRoutingTableRejectsNothingFinally() throws Exception {
    fixture.onLoop(() -> fixture.control.routingConfirmed = false);
    TestClient client = fixture.client();
    client.post("/nowhere/", "id-1", "", KEY);
    TestClient.Response noRoute = client.read();
    assertEquals(503, noRoute.status());
    assertNotNull(noRoute.header("Retry-After"));
    client.post("/once/x", "id-2", "", "X-Key: unknown");
    assertEquals(503, client.read().status());
    fixture.onLoop(() -> fixture.control.routingConfirmed = true);
    client.post("/nowhere/", "id-3", "", KEY);
    assertEquals(404, client.read().status());
  }

  @Test
  void anOutdatedRoutingTableServesNothingAndAnswers503() throws Exception {
    fixture.onLoop(() -> fixture.control.routingIsCurrent = false);
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/open/x", "id-1", "");
    TestClient.Response refused = client.read();
    assertEquals(503, refused.status());
    assertNotNull(refused.header("Retry-After"));
    client.post("/nowhere/", "id-2", "", KEY);
    assertEquals(503, client.read().status());
    assertFalse(fixture.onLoop(fixture.router::isReady));
    fixture.onLoop(() -> fixture.control.routingIsCurrent = true);
    client.post("/open/x", "id-3", "");
    backend.nextRequest().respond("200 OK", "");
    assertEquals(200, client.read().status());
  }

  @Test
  void anUnconfirmedRoutingTableStillServesWhatItPermits() throws Exception {
    fixture.onLoop(() -> fixture.control.routingConfirmed = false);
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/open/x", "id-1", "");
    backend.nextRequest().respond("200 OK", "");
    assertEquals(200, client.read().status());
    assertTrue(fixture.onLoop(fixture.router::isReady));
  }
}
