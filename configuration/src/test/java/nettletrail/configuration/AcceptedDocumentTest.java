package nettletrail.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Documents that are unusual but allowed. */
class AcceptedDocumentTest {
  private static final String SMALLEST_ROUTE =
      """
      {"edition":1,"routes":[{"name":"r","station":"h","lane_prefix":"/","kind":"single_send",
       "timeout_ms":1,"carrier":"s"}],"carriers":[{"name":"s"}]}
      """;

  private static RoutingTable compile(String json) throws ConfigurationException {
    ConfigurationDocument document = Documents.parse(json);
    document.requireValidAfter(0);
    return RoutingTable.compile(document);
  }

  @Test
  void acceptsTheSmallestRoute() throws ConfigurationException {
    RoutingTable table = compile(SMALLEST_ROUTE);

    assertEquals("r", table.match("h", "/anything").name());
    assertNull(table.service("s").engine());
  }

  /** The delimiter is a bar, since the replacements contain commas. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "\"timeout_ms\":1 | \"timeout_ms\":1,\"priority\":null,\"split\":null",
        "\"timeout_ms\":1 | \"timeout_ms\":0.5",
        "\"timeout_ms\":1 | \"timeout_ms\":1e12",
        "\"timeout_ms\":1 | \"timeout_ms\":1,\"split\":[]",
        "\"timeout_ms\":1 | \"timeout_ms\":1,\"split\":[{\"carrier\":\"s\",\"share\":1}]",
        "\"name\":\"s\" | \"name\":\"s\",\"engine\":null",
        "\"name\":\"s\" | \"name\":\"s\",\"engine\":{}",
        "\"name\":\"s\" | \"name\":\"s\",\"unknown\":{\"deep\":[1,[2]]}",
        "\"edition\":1 | \"edition\":1,\"limits\":null,\"senders\":null",
        "\"edition\":1 | \"edition\":1,\"limits\":{},\"senders\":[]",
        "\"edition\":1 | \"edition\":1,\"senders\":[{\"name\":\"t\"}]",
        "\"edition\":1 | \"edition\":9007199254740993",
        "\"edition\":1 | \"edition\":7.0",
        "\"edition\":1 | \"edition\":7e0",
      })
  void acceptsTheSmallestRouteWith(String original, String replacement)
      throws ConfigurationException {
    compile(SMALLEST_ROUTE.replace(original, replacement));
  }

  @Test
  void readsAnEditionWithoutLossOfPrecision() throws ConfigurationException {
    RoutingTable table =
        compile(SMALLEST_ROUTE.replace("\"edition\":1", "\"edition\":9007199254740993"));

    assertEquals(9007199254740993L, table.edition());
  }

  @Test
  void roundsAFractionUpAndBoundsALargeNumber() throws ConfigurationException {
    RoutingTable fraction =
        compile(SMALLEST_ROUTE.replace("\"timeout_ms\":1", "\"timeout_ms\":0.5"));
    RoutingTable large = compile(SMALLEST_ROUTE.replace("\"timeout_ms\":1", "\"timeout_ms\":1e12"));

    assertEquals(1, fraction.match("h", "/").timeoutMs());
    assertEquals(Integer.MAX_VALUE, large.match("h", "/").timeoutMs());
  }

  @Test
  void aSplitTakesPrecedenceOverASingleService() throws ConfigurationException {
    String split = "\"timeout_ms\":1,\"split\":[{\"carrier\":\"s\",\"share\":3}]";
    RoutingTable table = compile(SMALLEST_ROUTE.replace("\"timeout_ms\":1", split));

    int sum = table.match("h", "/").services().stream().mapToInt(ServiceShare::weight).sum();
    assertEquals(3, sum);
  }

  @Test
  void returnsTheTextUnchanged() throws ConfigurationException {
    byte[] json = Documents.bytes(Documents.EXAMPLE);

    assertArrayEquals(json, ConfigurationDocument.parse(json).json());
  }
}
