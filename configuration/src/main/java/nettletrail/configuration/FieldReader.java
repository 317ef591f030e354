package nettletrail.configuration;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import nettletrail.configuration.ConfigurationException.Step;

/**
 * Reads typed fields of one JSON object; a field that is null counts as absent. A field that is
 * missing or has the wrong type throws with step READ_FIELDS and its path.
 */
final class FieldReader {
  /** Bounds the work of reading one number. */
  private static final int MAX_EXACT_NUMBER_CHARACTERS = 40;

  private final JsonValue object;
  private final String path;

  /**
   * A reader of an object.
   *
   * @param value must be an object
   * @param path where it is in the document, for messages; empty for the document itself
   */
  FieldReader(JsonValue value, String path) throws ConfigurationException {
    if (value.kind() != JsonValue.Kind.OBJECT) {
      throw wrongType(path, "an object");
    }
    this.object = value;
    this.path = path;
  }

  /** The object that is read. */
  JsonValue object() {
    return object;
  }

  /** Whether a field is present and not null. */
  boolean has(String field) {
    JsonValue value = object.member(field);
    return value != null && value.kind() != JsonValue.Kind.NULL;
  }

  /** A string that is present and not empty. */
  String requiredText(String field) throws ConfigurationException {
    requirePresent(field);
    String text = optionalText(field, "");
    if (text.isEmpty()) {
      throw new ConfigurationException(Step.READ_FIELDS, pathOf(field), "empty");
    }
    return text;
  }

  String optionalText(String field, String fallback) throws ConfigurationException {
    if (!has(field)) {
      return fallback;
    }
    return typed(field, JsonValue.Kind.STRING, "a string").text();
  }

  boolean optionalBoolean(String field, boolean fallback) throws ConfigurationException {
    if (!has(field)) {
      return fallback;
    }
    return typed(field, JsonValue.Kind.BOOLEAN, "a boolean").text().equals("true");
  }

  /** An integer that is neither rounded nor clamped; 7.0 and 7e0 are 7. */
  long requiredExactLong(String field) throws ConfigurationException {
    requirePresent(field);
    String text = typed(field, JsonValue.Kind.NUMBER, "a number").text();
    try {
      if (text.length() <= MAX_EXACT_NUMBER_CHARACTERS) {
        return new BigDecimal(text).longValueExact();
      }
    } catch (ArithmeticException | NumberFormatException inexact) {
      // Reported below, as for a number with too many characters.
    }
    throw wrongType(pathOf(field), "a whole number of 64 bits");
  }

  /** An integer; a fraction is rounded up, a number out of range is clamped to the nearest long. */
  long optionalLong(String field, long fallback) throws ConfigurationException {
    if (!has(field)) {
      return fallback;
    }
    String text = typed(field, JsonValue.Kind.NUMBER, "a number").text();
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException notPlain) {
      return (long) Math.ceil(Double.parseDouble(text));
    }
  }

  /** As {@link #optionalInt}, but present. */
  int requiredInt(String field) throws ConfigurationException {
    requirePresent(field);
    return optionalInt(field, 0);
  }

  /** As {@link #optionalLong}, for an int. */
  int optionalInt(String field, int fallback) throws ConfigurationException {
    long value = optionalLong(field, fallback);
    return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, value));
  }

  /** As {@link #optionalInt}; zero and below count as absent. */
  int positiveInt(String field, int fallback) throws ConfigurationException {
    int value = optionalInt(field, fallback);
    return value > 0 ? value : fallback;
  }

  double optionalDouble(String field, double fallback) throws ConfigurationException {
    if (!has(field)) {
      return fallback;
    }
    return Double.parseDouble(typed(field, JsonValue.Kind.NUMBER, "a number").text());
  }

  /** The strings of a list; empty if it is absent. */
  List<String> texts(String field) throws ConfigurationException {
    List<String> texts = new ArrayList<>();
    for (JsonValue item : items(field)) {
      if (item.kind() != JsonValue.Kind.STRING) {
        throw wrongType(pathOf(field), "a list of strings");
      }
      texts.add(item.text());
    }
    return texts;
  }

  /** Readers for the objects of a list; empty if it is absent. */
  List<FieldReader> objects(String field) throws ConfigurationException {
    List<FieldReader> readers = new ArrayList<>();
    for (JsonValue item : items(field)) {
      readers.add(new FieldReader(item, pathOf(field) + "[" + readers.size() + "]"));
    }
    return readers;
  }

  /** A reader for an object, or null if it is absent. */
  FieldReader optionalObject(String field) throws ConfigurationException {
    return has(field) ? new FieldReader(object.member(field), pathOf(field)) : null;
  }

  /** Throws if a field is absent. */
  void requirePresent(String field) throws ConfigurationException {
    if (!has(field)) {
      throw new ConfigurationException(Step.READ_FIELDS, pathOf(field), "missing");
    }
  }

  private List<JsonValue> items(String field) throws ConfigurationException {
    return has(field) ? typed(field, JsonValue.Kind.ARRAY, "a list").items() : List.of();
  }

  private JsonValue typed(String field, JsonValue.Kind kind, String expected)
      throws ConfigurationException {
    JsonValue value = object.member(field);
    if (value.kind() != kind) {
      throw wrongType(pathOf(field), expected);
    }
    return value;
  }

  /** Where a field is in the document, for messages; for example {@code routes[3].timeout_ms}. */
  String pathOf(String field) {
    return path.isEmpty() ? field : path + "." + field;
  }

  private static ConfigurationException wrongType(String path, String expected) {
    String shown = path.isEmpty() ? "document" : path;
    return new ConfigurationException(Step.READ_FIELDS, shown, "expected " + expected);
  }
}
