package nettletrail.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeout;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Thousands of routes are handled; the time limits are generous and say nothing about speed. */
class LargeDocumentTest {
  private static final int ROUTES = 2_000;
  private static final Duration TIME_LIMIT = Duration.ofSeconds(5);

  private static String document(int routes) {
    StringBuilder json = new StringBuilder("{\"edition\":1,\"routes\":[");
    for (int index = 0; index < routes; index++) {
      json.append(index == 0 ? "" : ",").append(route(index));
    }
    return json.append("],\"carriers\":[{\"name\":\"s\"}]}").toString();
  }

  private static String route(int index) {
    return "{\"name\":\"r-%d\",\"station\":\"h%d.example\",\"lane_prefix\":\"/p%d/\","
            .formatted(index, index % 4, index)
        + "\"kind\":\"resendable\",\"timeout_ms\":4000,\"target_ms\":500,\"priority\":1,"
        + "\"carrier\":\"s\",\"attempts\":1,\"unstamped\":false,\"sticky\":true}";
  }

  @Test
  void parsesValidatesAndCompilesThousandsOfRoutes() {
    byte[] json = Documents.bytes(document(ROUTES));

    RoutingTable table = assertTimeout(TIME_LIMIT, () -> compile(json));

    assertEquals(ROUTES, table.routes().size());
    assertEquals("r-1999", table.match("h3.example", "/p1999/2f").name());
  }

  private static RoutingTable compile(byte[] json) throws ConfigurationException {
    ConfigurationDocument document = ConfigurationDocument.parse(json);
    document.requireValidAfter(0);
    return RoutingTable.compile(document);
  }

  @Test
  void patchesThousandsOfRoutes() throws ConfigurationException {
    ConfigurationDocument document = Documents.parse(document(ROUTES));
    String patch =
        "{\"edition\":2,\"deliver\":{\"routes\":["
            + route(ROUTES)
            + "]},\"withdraw\":{\"routes\":[\"r-0\"]}}";

    ConfigurationDocument patched =
        assertTimeout(TIME_LIMIT, () -> document.patched(Documents.bytes(patch)));

    assertEquals(ROUTES, RoutingTable.compile(patched).routes().size());
  }

  @Test
  void matchesAgainstHundredsOfRoutesOfOneHost() throws ConfigurationException {
    RoutingTable table = RoutingTable.compile(Documents.parse(document(ROUTES)));

    assertTimeout(TIME_LIMIT, () -> matchManyTimes(table));
  }

  private static void matchManyTimes(RoutingTable table) {
    int matches = 500_000;
    for (int index = 0; index < matches; index++) {
      int route = index % ROUTES;
      table.match("h" + route % 4 + ".example", "/p" + route + "/a/b/c/d");
    }
  }
}
