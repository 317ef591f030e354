package nettletrail.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** {@link RoutingTable}: the compiled model and the match of requests. */
class RoutingTableTest {
  private static RoutingTable compile(String json) throws ConfigurationException {
    return RoutingTable.compile(Documents.parse(json));
  }

  @Test
  void readsEveryFieldOfARoute() throws ConfigurationException {
    Route route = compile(Documents.EXAMPLE).match("one.example", "/chat/x");

    Route expected =
        new Route(
            "chat",
            "one.example",
            "/chat/",
            RouteKind.STREAM,
            4000,
            500,
            1,
            List.of(new ServiceShare("model", 1)),
            2,
            false,
            true,
            true,
            200);
    assertEquals(expected, route);
  }

  @Test
  void usesDefaultsForFieldsThatARouteOmits() throws ConfigurationException {
    Route route = compile(Documents.EXAMPLE).match("one.example", "/chat/split/");

    Route expected =
        new Route(
            "split",
            "one.example",
            "/chat/split/",
            RouteKind.IDEMPOTENT,
            6000,
            6000,
            5,
            List.of(new ServiceShare("model", 90), new ServiceShare("plain", 10)),
            1,
            false,
            false,
            false,
            0);
    assertEquals(expected, route);
  }

  @Test
  void readsServicesTenantsAndLimits() throws ConfigurationException {
    RoutingTable table = compile(Documents.EXAMPLE);

    Engine engine = new Engine(32, 659789, 6, List.of("m"));
    assertEquals(new Service("model", "/up", 230, engine), table.service("model"));
    assertEquals(new Service("plain", "/health", 64, null), table.service("plain"));
    Tenant tenant = new Tenant("tenant-a", Set.of("key-1", "key-2"), 1, true, 200, 153660, 0.5);
    assertEquals(tenant, table.tenant("tenant-a"));
    assertEquals(tenant, table.tenantOfKey("key-2"));
    assertNull(table.tenantOfKey("key-3"));
    assertTrue(table.keysRequired());
    assertEquals(new Limits(16384, 4194304, 3000, 15000), table.limits());
    assertEquals(7, table.edition());
    assertEquals(2, table.routes().size());
    assertEquals(2, table.services().size());
    assertEquals(1, table.tenants().size());
  }

  @Test
  void needsNeitherTenantsNorLimits() throws ConfigurationException {
    RoutingTable table = compile("{\"edition\":1,\"routes\":[],\"carriers\":[]}");

    assertFalse(table.keysRequired());
    assertEquals(Limits.DEFAULT, table.limits());
    assertNull(table.match("one.example", "/"));
  }

  // Guards against: any key, and none, is accepted once the last tenant was removed.
  @Test
  void anEmptyListOfTenantsStillRequiresKeys() throws ConfigurationException {
    String document = "{\"edition\":1,\"routes\":[],\"carriers\":[],\"senders\":%s}";

    assertTrue(compile(document.formatted("[]")).keysRequired());
    assertFalse(compile(document.formatted("null")).keysRequired());
  }

  @Test
  void picksTheLongestPrefixOfTheHost() throws ConfigurationException {
    RoutingTable table = compile(Documents.EXAMPLE);

    assertEquals("split", table.match("one.example", "/chat/split/a/b").name());
    assertEquals("chat", table.match("one.example", "/chat/split").name());
    assertEquals("chat", table.match("one.example", "/chat/").name());
    assertNull(table.match("one.example", "/chat"));
    assertNull(table.match("one.example", "/other/chat/"));
    assertNull(table.match("two.example", "/chat/"));
    assertNull(table.match("one.example", ""));
    assertNull(table.match("one.example", "*"));
  }

  @Test
  void comparesHostsWithoutCaseAndPort() throws ConfigurationException {
    RoutingTable table = compile(Documents.EXAMPLE);

    assertEquals("chat", table.match("ONE.example:8080", "/chat/").name());
  }

  @Test
  void rejectsADocumentThatBreaksARule() {
    String json = Documents.EXAMPLE.replace("\"carrier\":\"plain\"", "\"carrier\":\"unknown\"");

    assertThrows(ConfigurationException.class, () -> compile(json));
  }
}
