package nettletrail.fleet;

import com.jsoniter.JsonIterator;
import com.jsoniter.ValueType;
import com.jsoniter.any.Any;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The keys of a JSON document with the types of their values, without the values. */
public final class JsonShape {
  private JsonShape() {}

  /** One line for each key, as {@code backends[].state string}, the keys of an object sorted. */
  public static List<String> of(String json) {
    Set<String> lines = new LinkedHashSet<>();
    describe("", JsonIterator.deserialize(json), lines);
    return new ArrayList<>(lines);
  }

  private static void describe(String path, Any value, Set<String> lines) {
    if (value.valueType() == ValueType.OBJECT) {
      describeObject(path, value, lines);
    } else if (value.valueType() == ValueType.ARRAY) {
      lines.add(path + " array");
      value.asList().forEach(item -> describe(path + "[]", item, lines));
    } else {
      lines.add(path + " " + value.valueType().name().toLowerCase(Locale.ROOT));
    }
  }

  private static void describeObject(String path, Any object, Set<String> lines) {
    Map<String, Any> fields = new TreeMap<>(object.asMap());
    if (fields.isEmpty()) {
      lines.add(path + " object");
    }
    fields.forEach(
        (name, field) -> describe(path.isEmpty() ? name : path + "." + name, field, lines));
  }
}
