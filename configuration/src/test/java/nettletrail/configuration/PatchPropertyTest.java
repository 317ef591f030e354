package nettletrail.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

/** Properties of patches over documents with arbitrary spacing, unknown fields and numbers. */
class PatchPropertyTest {
  /** A service's name and the text of the complete item. */
  record NamedItem(String name, String text) {}

  @Provide
  Arbitrary<List<NamedItem>> items() {
    return item().list().uniqueElements(NamedItem::name).ofMaxSize(8);
  }

  private static Arbitrary<NamedItem> item() {
    Arbitrary<String> names = Arbitraries.strings().withCharRange('a', 'f').ofLength(1);
    Arbitrary<String> spaces = Arbitraries.of("", " ", "\n\t", "  ");
    Arbitrary<String> values =
        Arbitraries.of(
            "180000.0",
            "1e2",
            "-0",
            "123456789012345678901234567890",
            "0.10",
            "null",
            "[ 1, 2 ]",
            "\"\\u00e9\"",
            "\"é😀\"",
            "\"\\ud83d\\ude00\"",
            "{\"name\":\"inner\"}",
            "\"],}\\\"\"");
    return Combinators.combine(names, spaces, values, Arbitraries.of(true, false))
        .as(PatchPropertyTest::itemText);
  }

  private static NamedItem itemText(String name, String space, String value, boolean nameFirst) {
    String nameMember = "\"name\"" + space + ":" + space + "\"" + name + "\"";
    String valueMember = space + "\"unknown\":" + value;
    String members =
        nameFirst ? nameMember + "," + valueMember : valueMember + "," + space + nameMember;
    return new NamedItem(name, "{" + members + space + "}");
  }

  @Provide
  Arbitrary<List<String>> removedNames() {
    return Arbitraries.strings().withCharRange('a', 'g').ofLength(1).list().ofMaxSize(3);
  }

  @Property
  void untouchedItemsKeepTheirBytesAndOrder(
      @ForAll("items") List<NamedItem> current,
      @ForAll("items") List<NamedItem> added,
      @ForAll("removedNames") List<String> removed)
      throws ConfigurationException {
    ConfigurationDocument document = Documents.parse(documentOf(current));

    ConfigurationDocument patched = document.patched(Documents.bytes(patchOf(added, removed)));

    assertEquals(2, patched.edition());
    assertEquals(expectedTexts(current, added, removed), serviceTexts(patched));
  }

  private static String documentOf(List<NamedItem> items) {
    return "{\"edition\":1,\"routes\":[],\n\"carriers\": [" + joined(items) + "\n]}";
  }

  private static String patchOf(List<NamedItem> added, List<String> removed) {
    List<String> quoted = removed.stream().map(name -> "\"" + name + "\"").toList();
    return "{\"edition\":2,\"deliver\":{\"carriers\":["
        + joined(added)
        + "]},\"withdraw\":{\"carriers\":["
        + String.join(",", quoted)
        + "]}}";
  }

  private static String joined(List<NamedItem> items) {
    return String.join(" ,", items.stream().map(NamedItem::text).toList());
  }

  private static List<String> expectedTexts(
      List<NamedItem> current, List<NamedItem> added, List<String> removed) {
    Map<String, String> texts = new LinkedHashMap<>();
    current.forEach(item -> texts.put(item.name(), item.text()));
    removed.forEach(texts::remove);
    added.forEach(item -> texts.put(item.name(), item.text()));
    return new ArrayList<>(texts.values());
  }

  private static List<String> serviceTexts(ConfigurationDocument document)
      throws ConfigurationException {
    JsonValue services = JsonParser.parse(document.json(), "document").member("carriers");
    return services.items().stream()
        .map(item -> new String(item.bytes(), StandardCharsets.UTF_8))
        .toList();
  }

  @Property
  void namesOfAnyCharactersAreReadBack(@ForAll("wellFormedNames") String name)
      throws ConfigurationException {
    String json = "{\"edition\":1,\"routes\":[],\"carriers\":[{\"name\":\"" + name + "\"}]}";

    RoutingTable table = RoutingTable.compile(Documents.parse(json));

    assertEquals(name, table.service(name).name());
  }

  @Provide
  Arbitrary<String> wellFormedNames() {
    return Arbitraries.integers()
        .between(' ', Character.MAX_CODE_POINT)
        .filter(point -> point != '"' && point != '\\')
        .filter(point -> point < Character.MIN_SURROGATE || point > Character.MAX_SURROGATE)
        .map(Character::toString)
        .list()
        .ofMinSize(1)
        .ofMaxSize(40)
        .map(parts -> String.join("", parts));
  }

  /** Whatever byte is changed, the outcome is a document or the one checked exception. */
  @Property
  void aChangedByteNeverCausesAnotherException(
      @ForAll @IntRange(max = 1_000_000) int seed, @ForAll byte replacement) {
    byte[] json = Documents.bytes(Documents.EXAMPLE);
    json[seed % json.length] = replacement;
    try {
      RoutingTable.compile(ConfigurationDocument.parse(json));
    } catch (ConfigurationException rejection) {
      assertEquals(true, rejection.getMessage().contains(rejection.location()));
    }
  }
}
