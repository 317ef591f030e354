package nettletrail.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import nettletrail.configuration.ConfigurationException.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** {@link DocumentPatch}, through the documents that it makes. */
class DocumentPatchTest {
  /** One item a list, so that whole texts can be compared. */
  private static final String SMALL =
      "{\"edition\":1, \"routes\" : [], \"carriers\":[{\"name\":\"a\",\"x\":1.50}, {\"name\":\"b\"}],"
          + "\"limits\":{\"idle_ms\":5}}";

  private static String patched(String document, String patch) throws ConfigurationException {
    return Documents.text(Documents.parse(document).patched(Documents.bytes(patch)));
  }

  @Test
  void changesOnlyTheEditionIfNothingIsNamed() throws ConfigurationException {
    assertEquals(
        "{\"edition\":2,\"routes\":[],\"carriers\":[{\"name\":\"a\",\"x\":1.50}, {\"name\":\"b\"}],"
            + "\"limits\":{\"idle_ms\":5}}",
        patched(SMALL, "{\"edition\":2}"));
  }

  @Test
  void replacesInPositionAndAppendsAtTheEnd() throws ConfigurationException {
    String patch =
        "{\"edition\":2,\"deliver\":{\"carriers\":[{\"name\":\"c\"}, { \"name\":\"a\",\"y\":1 }]}}";

    String expected = "\"carriers\":[{ \"name\":\"a\",\"y\":1 },{\"name\":\"b\"},{\"name\":\"c\"}]";
    assertTrue(patched(SMALL, patch).contains(expected), patched(SMALL, patch));
  }

  @Test
  void removesNamedItemsAndIgnoresAbsentNames() throws ConfigurationException {
    String patch =
        "{\"edition\":2,\"withdraw\":{\"carriers\":[\"a\",\"none\"],\"routes\":[\"none\"],"
            + "\"unknown\":[\"none\"]}}";

    assertEquals(
        "{\"edition\":2,\"routes\":[],\"carriers\":[{\"name\":\"b\"}],\"limits\":{\"idle_ms\":5}}",
        patched(SMALL, patch));
  }

  @Test
  void removesEveryItemOfAList() throws ConfigurationException {
    String patch = "{\"edition\":2,\"withdraw\":{\"carriers\":[\"b\",\"a\"]}}";

    assertTrue(patched(SMALL, patch).contains("\"carriers\":[],"));
  }

  @Test
  void addsTheFirstItemsOfAListThatWasAbsent() throws ConfigurationException {
    String patch =
        "{\"edition\":2,\"deliver\":{\"senders\":[{\"name\":\"t\",\"passes\":[\"k\"]}],"
            + "\"l\\u00e4ter\":[1]}}";

    ConfigurationDocument document = Documents.parse(SMALL).patched(Documents.bytes(patch));

    assertEquals("t", RoutingTable.compile(document).tenantOfKey("k").name());
    assertTrue(Documents.text(document).endsWith(",\"l\\u00e4ter\":[1]}"));
  }

  @Test
  void replacesWhatIsNoList() throws ConfigurationException {
    String patch = "{\"edition\":2,\"deliver\":{\"limits\":{\"idle_ms\":7}}}";

    ConfigurationDocument document = Documents.parse(SMALL).patched(Documents.bytes(patch));

    assertEquals(7, RoutingTable.compile(document).limits().idleMs());
  }

  @Test
  void changesListsThatAreUnknownToTheModel() throws ConfigurationException {
    String patch =
        "{\"edition\":8,\"deliver\":{\"later_list\":[{\"name\":\"y\",\"value\":1.0}, 5]},"
            + "\"withdraw\":{\"later_list\":[\"x\"]}}";

    String text = patched(Documents.EXAMPLE, patch);

    assertTrue(text.contains("\"later_list\":[{\"name\":\"y\",\"value\":1.0},5]"), text);
  }

  @Test
  void itemsWithoutANameAreKeptAndAppended() throws ConfigurationException {
    String document = "{\"edition\":1,\"routes\":[],\"carriers\":[],\"plain\":[1,{\"a\":2}]}";
    String patch = "{\"edition\":2,\"deliver\":{\"plain\":[1,{\"a\":2}]}}";

    String text = patched(document, patch);

    assertTrue(text.contains("\"plain\":[1,{\"a\":2},1,{\"a\":2}]"), text);
  }

  @Test
  void comparesNamesAfterDecodingThem() throws ConfigurationException {
    String patch = "{\"edition\":2,\"withdraw\":{\"carriers\":[\"\\u0061\"]}}";

    assertTrue(patched(SMALL, patch).contains("\"carriers\":[{\"name\":\"b\"}]"));
  }

  @Test
  void keepsNumbersAndEscapesOfUntouchedItems() throws ConfigurationException {
    String patch = "{\"edition\":8,\"deliver\":{\"carriers\":[{\"name\":\"new\"}]}}";

    String text = patched(Documents.EXAMPLE, patch);

    assertTrue(text.contains("\"link_mbps\":180000.0"));
    assertTrue(text.contains("{\"weight\":1.50,\"text\":\"\\u00e9\\ud83d\\ude00 ü\"}"));
    assertTrue(text.contains("\"value\":1e2"));
    assertTrue(text.contains("\"value\":-0"));
  }

  @Test
  void theOutcomeIsValidatedLikeACompleteDocument() throws ConfigurationException {
    String patch = "{\"edition\":8,\"withdraw\":{\"carriers\":[\"plain\"]}}";
    ConfigurationDocument document =
        Documents.parse(Documents.EXAMPLE).patched(Documents.bytes(patch));

    ConfigurationException rejection =
        assertThrows(ConfigurationException.class, () -> document.requireValidAfter(7));

    assertEquals("route split", rejection.location());
  }

  // Guards against: the removal of the last tenant opens all routes to everyone.
  @Test
  void keysAreStillRequiredAfterTheRemovalOfTheLastTenant() throws ConfigurationException {
    String patch = "{\"edition\":8,\"withdraw\":{\"senders\":[\"tenant-a\"]}}";

    ConfigurationDocument document =
        Documents.parse(Documents.EXAMPLE).patched(Documents.bytes(patch));
    ConfigurationDocument stored =
        ConfigurationDocument.parse(document.json(), Documents.parse(Documents.EXAMPLE));

    assertTrue(document.tenants().isEmpty());
    assertTrue(RoutingTable.compile(document).keysRequired());
    assertTrue(RoutingTable.compile(stored).keysRequired());
  }

  @Test
  void thePatchedDocumentItselfIsUnchanged() throws ConfigurationException {
    ConfigurationDocument document = Documents.parse(Documents.EXAMPLE);

    document.patched(Documents.bytes("{\"edition\":8,\"withdraw\":{\"senders\":[\"tenant-a\"]}}"));

    assertEquals(Documents.EXAMPLE, Documents.text(document));
    assertEquals(7, document.edition());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "{\"edition\":2 | PARSE | patch byte 12",
        "{\"edition\":2}} | PARSE | patch byte 13",
        "[] | READ_FIELDS | patch",
        "{} | READ_FIELDS | patch.edition",
        "{\"edition\":\"2\"} | READ_FIELDS | patch.edition",
        "{\"edition\":2,\"deliver\":[]} | PATCH | patch.deliver",
        "{\"edition\":2,\"withdraw\":5} | PATCH | patch.withdraw",
        "{\"edition\":2,\"withdraw\":{\"routes\":\"a\"}} | PATCH | patch.withdraw.routes",
        "{\"edition\":2,\"withdraw\":{\"routes\":[1]}} | PATCH | patch.withdraw.routes",
        "{\"edition\":2,\"deliver\":{\"routes\":{}}} | PATCH | patch.deliver.routes",
        "{\"edition\":2,\"deliver\":{\"routes\":null}} | PATCH | patch.deliver.routes",
        "{\"edition\":2,\"deliver\":{\"carriers\":[{}]}} | READ_FIELDS | carriers[2].name",
        "{\"edition\":2,\"deliver\":{\"carriers\":[5]}} | READ_FIELDS | carriers[2]",
        "{\"edition\":2,\"deliver\":{\"senders\":{}}} | READ_FIELDS | senders",
        "{\"edition\":2,\"deliver\":{\"limits\":[]}} | READ_FIELDS | limits",
      })
  void rejectsAPatchThatCannotBeParsed(String patch, Step step, String location) {
    ConfigurationException rejection =
        assertThrows(ConfigurationException.class, () -> patched(SMALL, patch));

    assertEquals(step, rejection.step());
    assertEquals(location, rejection.location());
  }
}
