package nettletrail.fleet.cli;

import com.jsoniter.any.Any;
import java.math.BigDecimal;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Texts of JSON values for comparison and display. Equal values have equal texts, whatever the
 * order of their fields, their layout and the notation of their numbers. The texts are not JSON.
 */
final class CanonicalJson {
  private static final String ABSENT = "nothing";

  private CanonicalJson() {}

  /** The text of a value; null stands for an absent one. */
  static String of(Any value) {
    if (value == null) {
      return ABSENT;
    }
    return switch (value.valueType()) {
      case OBJECT -> ofObject(value);
      case ARRAY ->
          value.asList().stream().map(CanonicalJson::of).collect(Collectors.joining(",", "[", "]"));
      case NUMBER -> new BigDecimal(value.toString()).stripTrailingZeros().toPlainString();
      case STRING -> '"' + value.toString() + '"';
      case BOOLEAN, NULL, INVALID -> value.toString();
    };
  }

  private static String ofObject(Any object) {
    Map<String, Any> sorted = new TreeMap<>(object.asMap());
    return sorted.entrySet().stream()
        .map(field -> field.getKey() + ":" + of(field.getValue()))
        .collect(Collectors.joining(",", "{", "}"));
  }
}
