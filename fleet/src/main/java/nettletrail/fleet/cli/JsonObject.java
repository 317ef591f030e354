package nettletrail.fleet.cli;

import com.jsoniter.JsonIterator;
import com.jsoniter.output.JsonStream;
import com.jsoniter.spi.JsonException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * A JSON object whose fields keep their order, for output and for tables whose columns are chosen
 * by the core. Not thread-safe.
 */
public final class JsonObject {
  private final Map<String, Object> fields;

  /** Creates an object without fields. */
  public JsonObject() {
    this(new LinkedHashMap<>());
  }

  private JsonObject(Map<String, Object> fields) {
    this.fields = fields;
  }

  /**
   * Parses a JSON object.
   *
   * @throws JsonException if the text isn't one, or ends before the object does
   */
  static JsonObject parse(byte[] json) {
    try {
      return new JsonObject(readObject(JsonIterator.parse(json)));
    } catch (IOException | IndexOutOfBoundsException | NumberFormatException malformed) {
      throw new JsonException(malformed);
    }
  }

  /** Adds or replaces a text. */
  public JsonObject put(String name, String value) {
    fields.put(name, value);
    return this;
  }

  /** Adds or replaces a number. */
  public JsonObject put(String name, long value) {
    fields.put(name, value);
    return this;
  }

  /** Adds or replaces a Boolean value. */
  public JsonObject put(String name, boolean value) {
    fields.put(name, value);
    return this;
  }

  /** Adds or replaces an array of texts. */
  public JsonObject putTexts(String name, List<String> values) {
    fields.put(name, values);
    return this;
  }

  /** Adds or replaces an array of objects. */
  public JsonObject putObjects(String name, List<JsonObject> values) {
    fields.put(name, values.stream().map(value -> value.fields).toList());
    return this;
  }

  /** Adds or replaces all fields of another object. */
  JsonObject putAll(JsonObject other) {
    fields.putAll(other.fields);
    return this;
  }

  /** An object with one field of this one; the field is null if this object lacks it. */
  JsonObject only(String name) {
    JsonObject selected = new JsonObject();
    selected.fields.put(name, fields.get(name));
    return selected;
  }

  /**
   * The objects of an array field.
   *
   * @throws JsonException if the field isn't an array of objects
   */
  List<JsonObject> objects(String name) {
    if (!(fields.get(name) instanceof List<?> items)) {
      throw new JsonException("it has no array " + name);
    }
    List<JsonObject> objects = new ArrayList<>();
    for (Object item : items) {
      objects.add(asObject(name, item));
    }
    return objects;
  }

  private static JsonObject asObject(String name, Object item) {
    if (!(item instanceof Map<?, ?> map)) {
      throw new JsonException("an item of " + name + " isn't an object");
    }
    JsonObject object = new JsonObject();
    map.forEach((field, value) -> object.fields.put((String) field, value));
    return object;
  }

  /** The names of the fields, in their order. */
  List<String> names() {
    return List.copyOf(fields.keySet());
  }

  /** The values as text, in the order of the fields; null becomes the empty string. */
  List<String> texts() {
    return fields.values().stream().map(value -> value == null ? "" : value.toString()).toList();
  }

  /** Passes each field and its value as text to an action; null becomes {@code null}. */
  void forEachText(BiConsumer<String, String> action) {
    fields.forEach((name, value) -> action.accept(name, String.valueOf(value)));
  }

  /** The object as JSON on one line. */
  @Override
  public String toString() {
    return JsonStream.serialize(fields);
  }

  private static Map<String, Object> readObject(JsonIterator json) throws IOException {
    Map<String, Object> fields = new LinkedHashMap<>();
    for (String name = json.readObject(); name != null; name = json.readObject()) {
      fields.put(name, readValue(json));
    }
    return fields;
  }

  private static List<Object> readArray(JsonIterator json) throws IOException {
    List<Object> items = new ArrayList<>();
    while (json.readArray()) {
      items.add(readValue(json));
    }
    return items;
  }

  private static Object readValue(JsonIterator json) throws IOException {
    return switch (json.whatIsNext()) {
      case OBJECT -> readObject(json);
      case ARRAY -> readArray(json);
      case NUMBER -> json.readBigDecimal();
      case BOOLEAN -> json.readBoolean();
      case STRING -> json.readString();
      default -> json.read();
    };
  }
}
