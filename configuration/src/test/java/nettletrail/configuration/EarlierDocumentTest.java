package nettletrail.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** {@link ParsedItemCache}: parsing with an earlier document has the same outcome as without. */
class EarlierDocumentTest {
  private static final String REST =
      "\"carriers\":[{\"name\":\"model\"}],\"senders\":[{\"name\":\"t\",\"passes\":[\"k\"]}]}";

  private static String route(int number, int timeoutMs) {
    return "{\"name\":\"r%d\",\"station\":\"h\",\"lane_prefix\":\"/%d/\",\"kind\":\"serial\","
            .formatted(number, number)
        + "\"timeout_ms\":%d,\"carrier\":\"model\"}".formatted(timeoutMs);
  }

  private static String document(int edition, List<String> routes) {
    return "{\"edition\":%d,\"routes\":[%s],".formatted(edition, String.join(", ", routes)) + REST;
  }

  private static List<String> routes(int count) {
    List<String> routes = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      routes.add(route(number, 4_000));
    }
    return routes;
  }

  @Test
  void givenOneChangedRoute_whenParsedWithTheEarlierDocument_thenTheOthersAreNotParsedAgain()
      throws Exception {
    List<String> routes = routes(200);
    ConfigurationDocument earlier = Documents.parse(document(1, routes));
    routes.set(100, route(100, 5_000));
    ConfigurationDocument later =
        ConfigurationDocument.parse(Documents.bytes(document(2, routes)), earlier);
    assertEquals(2, later.edition());
    assertEquals(5_000, later.model().routes().get(100).timeoutMs());
    for (int index = 0; index < 200; index++) {
      if (index != 100) {
        assertSame(earlier.model().routes().get(index), later.model().routes().get(index));
      }
    }
    assertSame(earlier.tenants().get(0), later.tenants().get(0));
  }

  @Test
  void givenAnItemOfAnotherList_whenItIsAmongRoutes_thenItIsParsedAsARoute() throws Exception {
    ConfigurationDocument earlier = Documents.parse(document(1, routes(1)));
    String wrong = document(2, List.of("{\"name\":\"t\",\"passes\":[\"k\"]}"));
    assertThrows(
        ConfigurationException.class,
        () -> ConfigurationDocument.parse(Documents.bytes(wrong), earlier));
  }

  @Test
  void givenACachedItem_whenTheTextAfterItIsMalformed_thenItIsRejected() throws Exception {
    ConfigurationDocument earlier = Documents.parse(document(1, routes(2)));
    for (String bad : new String[] {"}", " x", "1", "{}"}) {
      String wrong = document(2, List.of(route(0, 4_000) + bad, route(1, 4_000)));
      assertThrows(
          ConfigurationException.class,
          () -> ConfigurationDocument.parse(Documents.bytes(wrong), earlier));
    }
  }

  @Property(tries = 300)
  void anySequenceOfChangesParsesAsEachDocumentAlone(
      @ForAll long seed, @ForAll @IntRange(min = 0, max = 120) int count) throws Exception {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> routes = routes(count);
    int next = count;
    ConfigurationDocument earlier = null;
    for (int edition = 1; edition <= 12; edition++) {
      byte[] json = Documents.bytes(document(edition, routes));
      ConfigurationDocument later = ConfigurationDocument.parse(json, earlier);
      assertEquals(ConfigurationDocument.parse(json).model(), later.model());
      earlier = later;
      for (int change = random.nextInt(5); change > 0; change--) {
        int at = random.nextInt(routes.size() + 1);
        switch (random.nextInt(4)) {
          case 0 -> routes.add(at, route(next++, 4_000));
          case 1 -> routes.subList(at, Math.min(routes.size(), at + random.nextInt(90))).clear();
          case 2 -> Collections.rotate(routes, at);
          default -> {
            if (at < routes.size()) {
              routes.set(at, routes.get(at).replace("4000", "" + (1 + random.nextInt(9_000))));
            }
          }
        }
        if (routes.isEmpty()) {
          routes.add(route(next++, 4_000));
        }
      }
    }
  }
}
