package nettletrail.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import nettletrail.configuration.ConfigurationException.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** {@link JsonParser} and its lexer accept RFC 8259 exactly. */
class JsonParserTest {
  private static JsonValue parse(String json) throws ConfigurationException {
    return JsonParser.parse(Documents.bytes(json), "text");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{}",
        "[]",
        " [ ] ",
        "{ }",
        "[1, -0, 0.5, -1.25e+10, 1E5, 1e-2]",
        "true",
        "false",
        "null",
        "\"\"",
        "{\"a\":{\"b\":[{}]}}",
        "\t\r\n1\n",
        "\"\\\"\\\\\\/\\b\\f\\n\\r\\t\\u00e9\"",
        "123456789012345678901234567890"
      })
  void acceptsJsonAndKeepsItsBytes(String json) throws ConfigurationException {
    assertArrayEquals(Documents.bytes(json.strip()), parse(json).bytes());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        " ",
        "{",
        "[",
        "}",
        "]",
        "[1,]",
        "[,1]",
        "[1 2]",
        "{\"a\":1,}",
        "{\"a\"}",
        "{\"a\":}",
        "{a:1}",
        "{'a':1}",
        "{1:1}",
        "{\"a\":1 \"b\":2}",
        "[1}",
        "{\"a\":1]",
        "tru",
        "truex",
        "txxx",
        "nul",
        "nulll",
        "True",
        "NaN",
        "Infinity",
        "01",
        "-",
        "+1",
        "1.",
        ".5",
        "1e",
        "1e+",
        "0x10",
        "1.2.3",
        "--1",
        "\"",
        "\"a",
        "\"\\",
        "\"\\x\"",
        "\"\\u12\"",
        "\"\\u12g4\"",
        "\"a\nb\"",
        "{}{}",
        "{} x",
        "[]]",
        "1 2",
        "// c\n1",
        "{\"a\":1}\u0000"
      })
  void rejectsEverythingElse(String json) {
    ConfigurationException rejection =
        assertThrows(ConfigurationException.class, () -> parse(json));

    assertEquals(Step.PARSE, rejection.step());
  }

  @ParameterizedTest
  @CsvSource({
    "'{\"a\":1,}', 'text byte 7'",
    "'[1', 'text byte 2'",
    "'{} x', 'text byte 3'",
  })
  void namesTheByteAtWhichItFailed(String json, String location) {
    assertEquals(
        location, assertThrows(ConfigurationException.class, () -> parse(json)).location());
  }

  @Test
  void rejectsBytesThatAreNotUtf8() {
    byte[] overlong = {'"', (byte) 0xc0, (byte) 0x80, '"'};

    assertThrows(ConfigurationException.class, () -> JsonParser.parse(overlong, "text"));
  }

  @Test
  void rejectsDeepNestingInsteadOfExhaustingTheStack() {
    String deep = "[".repeat(1_000_000);

    ConfigurationException rejection =
        assertThrows(ConfigurationException.class, () -> parse(deep));

    assertTrue(rejection.getMessage().contains("nested deeper"), rejection.getMessage());
  }

  @Test
  void decodesEscapesAndWideCharacters() throws ConfigurationException {
    JsonValue value = parse("\"a\\u00e9\\ud83d\\ude00\\n\\\"ü€😀z\"");

    assertEquals("aé😀\n\"ü€😀z", value.text());
  }

  @Test
  void takesTheLastOfSeveralMembersWithOneName() throws ConfigurationException {
    assertEquals("2", parse("{\"a\":1,\"a\":2}").member("a").text());
  }
}
