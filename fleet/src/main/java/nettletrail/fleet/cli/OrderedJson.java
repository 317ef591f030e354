package nettletrail.fleet.cli;

import com.jsoniter.JsonIterator;
import com.jsoniter.spi.JsonException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads JSON objects whose fields keep their order, so that a table has the columns that the core
 * chose.
 */
final class OrderedJson {
  private OrderedJson() {}

  /**
   * Reads one object. Nested objects are maps, arrays lists, numbers {@code BigDecimal}.
   *
   * @throws JsonException if the text isn't one
   */
  static Map<String, Object> readObject(byte[] json) {
    try {
      return object(JsonIterator.parse(json));
    } catch (IOException malformed) {
      throw new JsonException(malformed);
    }
  }

  private static Map<String, Object> object(JsonIterator json) throws IOException {
    Map<String, Object> fields = new LinkedHashMap<>();
    for (String name = json.readObject(); name != null; name = json.readObject()) {
      fields.put(name, value(json));
    }
    return fields;
  }

  private static List<Object> array(JsonIterator json) throws IOException {
    List<Object> items = new ArrayList<>();
    while (json.readArray()) {
      items.add(value(json));
    }
    return items;
  }

  private static Object value(JsonIterator json) throws IOException {
    return switch (json.whatIsNext()) {
      case OBJECT -> object(json);
      case ARRAY -> array(json);
      case NUMBER -> json.readBigDecimal();
      case BOOLEAN -> json.readBoolean();
      case STRING -> json.readString();
      default -> json.read();
    };
  }
}
