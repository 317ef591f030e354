package nettletrail.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import nettletrail.configuration.ConfigurationException.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.FieldSource;

/** Each form makes the example invalid by one replacement. */
class InvalidDocumentTest {
  private static final long EDITION_BEFORE = 6;

  /**
   * A replacement and how it is reported.
   *
   * @param location the location the exception must name
   * @param reason a part of the message
   */
  record InvalidForm(
      String original, String replacement, Step step, String location, String reason) {}

  static final List<InvalidForm> BROKEN_RULES =
      List.of(
          brokenRule(
              "\"priority\":1,\"carrier\":\"model\"",
              "\"carrier\":\"gone\"",
              "route chat",
              "unknown service gone"),
          brokenRule(
              "{\"carrier\":\"plain\"", "{\"carrier\":\"gone\"", "route split", "unknown service"),
          brokenRule(
              "\"timeout_ms\":6000.0,",
              "\"timeout_ms\":1,\"carrier\":\"gone\",",
              "route split",
              "unknown service gone"),
          brokenRule("/chat/split/", "/chat/", "route split", "host and prefix"),
          brokenRule(
              "\"share\":90},{\"carrier\":\"plain\",\"share\":10",
              "\"share\":0},{\"carrier\":\"plain\",\"share\":0",
              "route split",
              "add up to 0"),
          brokenRule("\"share\":10", "\"share\":-10", "route split", "negative"),
          brokenRule("\"carrier\":\"model\",\"attempts\"", "\"attempts\"", "route chat", "add up"),
          brokenRule(
              "[{\"carrier\":\"model\",\"share\":90},{\"carrier\":\"plain\",\"share\":10}]",
              "[]",
              "route split",
              "add up"),
          brokenRule("\"timeout_ms\":4000", "\"timeout_ms\":0", "route chat", "timeout_ms"),
          brokenRule("\"timeout_ms\":4000", "\"timeout_ms\":-1", "route chat", "timeout_ms"),
          brokenRule("\"timeout_ms\":4000", "\"timeout_ms\":0.0", "route chat", "timeout_ms"),
          brokenRule("\"timeout_ms\":4000", "\"timeout_ms\":-0", "route chat", "timeout_ms"),
          brokenRule("\"/chat/\"", "\"/chat\"", "route chat", "lane_prefix"),
          brokenRule("\"/chat/\"", "\"chat/\"", "route chat", "lane_prefix"),
          brokenRule("\"edition\":7", "\"edition\":6", "edition", "not above"),
          brokenRule("\"edition\":7", "\"edition\":-7", "edition", "not above"),
          brokenRule("\"name\":\"split\"", "\"name\":\"chat\"", "routes", "chat stands twice"),
          brokenRule("\"name\":\"plain\"", "\"name\":\"model\"", "carriers", "stands twice"),
          brokenRule(
              "\"burst\":0.5}",
              "\"burst\":0.5},{\"name\":\"tenant-a\",\"passes\":[]}",
              "senders",
              "stands twice"),
          brokenRule(
              "\"burst\":0.5}",
              "\"burst\":0.5},{\"name\":\"tenant-b\",\"passes\":[\"key-2\"]}",
              "tenant tenant-b",
              "keys"),
          brokenRule("\"key-2\"", "\"key-1\"", "senders[0].passes", "twice"));

  static final List<InvalidForm> UNREADABLE_FIELDS =
      List.of(
          missing("\"edition\":7,", "edition"),
          missing("\"name\":\"chat\",", "routes[0].name"),
          missing("\"station\":\"One.example\",", "routes[0].station"),
          missing("\"lane_prefix\":\"/chat/split/\",", "routes[1].lane_prefix"),
          missing("\"kind\":\"serial\",", "routes[0].kind"),
          missing("\"timeout_ms\":4000,", "routes[0].timeout_ms"),
          missing(",\"share\":90", "routes[1].split[0].share"),
          missing("\"name\":\"model\",", "carriers[0].name"),
          missing("\"name\":\"m\"", "carriers[0].engine.models[0].name"),
          missing("\"name\":\"tenant-a\",", "senders[0].name"),
          wrongType("\"edition\":7", "\"edition\":\"7\"", "edition", "a number"),
          wrongType("\"edition\":7", "\"edition\":7.5", "edition", "a whole number"),
          wrongType("\"edition\":7", "\"edition\":1e30", "edition", "a whole number"),
          wrongType("\"edition\":7", "\"edition\":1e999999999", "edition", "a whole number"),
          wrongType("\"edition\":7", "\"edition\":1e9999999999", "edition", "a whole number"),
          wrongType("\"edition\":7", "\"edition\":" + "9".repeat(100_000), "edition", "a whole"),
          wrongType("\"edition\":7", "\"edition\":null", "edition", "missing"),
          wrongType("\"name\":\"chat\"", "\"name\":5", "routes[0].name", "a string"),
          wrongType("\"name\":\"chat\"", "\"name\":\"\"", "routes[0].name", "empty"),
          wrongType("\"serial\"", "\"other\"", "routes[0].kind", "unknown kind"),
          wrongType("\"timeout_ms\":4000", "\"timeout_ms\":\"4000\"", "routes[0].timeout_ms", "a"),
          wrongType("\"sticky\":true", "\"sticky\":1", "routes[0].sticky", "a boolean"),
          wrongType("[\"key-1\",\"key-2\"]", "\"key-1\"", "senders[0].passes", "a list"),
          wrongType("[\"key-1\",\"key-2\"]", "[1]", "senders[0].passes", "strings"),
          wrongType("{\"header_bytes\":16384", "[],\"x\":{\"a\":1", "limits", "an object"),
          wrongType("\"routes\":[", "\"routes\":[5,", "routes[0]", "an object"),
          wrongType("\"routes\":[", "\"routes\":null,\"x\":[", "routes", "missing"),
          wrongType("\"carriers\":[", "\"carriers\":5,\"x\":[", "carriers", "a list"));

  private static InvalidForm brokenRule(
      String original, String replacement, String location, String reason) {
    return new InvalidForm(original, replacement, Step.VALIDATE, location, reason);
  }

  private static InvalidForm missing(String original, String location) {
    return new InvalidForm(original, "", Step.READ_FIELDS, location, "missing");
  }

  private static InvalidForm wrongType(
      String original, String replacement, String location, String reason) {
    return new InvalidForm(original, replacement, Step.READ_FIELDS, location, reason);
  }

  @ParameterizedTest
  @FieldSource("BROKEN_RULES")
  void rejectsABrokenRule(InvalidForm form) {
    assertRejected(form);
  }

  @ParameterizedTest
  @FieldSource("UNREADABLE_FIELDS")
  void rejectsAnUnreadableField(InvalidForm form) {
    assertRejected(form);
  }

  private static void assertRejected(InvalidForm form) {
    assertTrue(Documents.EXAMPLE.contains(form.original()), "the example must hold the original");
    String json = Documents.EXAMPLE.replace(form.original(), form.replacement());

    ConfigurationException rejection =
        assertThrows(
            ConfigurationException.class,
            () -> Documents.parse(json).requireValidAfter(EDITION_BEFORE));

    assertEquals(form.step(), rejection.step());
    assertEquals(form.location(), rejection.location());
    assertTrue(rejection.getMessage().contains(form.reason()), rejection.getMessage());
  }

  @Test
  void acceptsTheExampleItself() throws ConfigurationException {
    Documents.parse(Documents.EXAMPLE).requireValidAfter(EDITION_BEFORE);
  }

  @Test
  void rejectsTwoHostsThatDifferOnlyInCaseAsTheSameHost() {
    String json =
        Documents.EXAMPLE
            .replace("/chat/split/", "/chat/")
            .replace("\"one.example\"", "\"ONE.EXAMPLE\"");

    assertThrows(
        ConfigurationException.class,
        () -> Documents.parse(json).requireValidAfter(EDITION_BEFORE));
  }

  @Test
  void rejectsEveryTruncation() {
    byte[] complete = Documents.bytes(Documents.EXAMPLE.strip());
    for (int length = 0; length < complete.length; length++) {
      byte[] truncated = Arrays.copyOf(complete, length);
      assertThrows(ConfigurationException.class, () -> ConfigurationDocument.parse(truncated));
    }
  }

  @Test
  void rejectsBytesAfterTheDocument() {
    assertThrows(ConfigurationException.class, () -> Documents.parse(Documents.EXAMPLE + "}"));
  }
}
