package nettletrail.fleet;

import com.jsoniter.output.JsonStream;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Writes records as JSON objects: a key for each component in the order of declaration, the
 * component's name in snake case. Components are text, numbers, booleans, records, or lists of
 * these.
 */
final class StatusJson {
  private static final Pattern WORD_START = Pattern.compile("(?<=[a-z0-9])(?=[A-Z])");

  private StatusJson() {}

  /** Returns a record's JSON in UTF-8. */
  static byte[] write(Record view) {
    return JsonStream.serialize(fields(view)).getBytes(StandardCharsets.UTF_8);
  }

  private static Map<String, Object> fields(Record view) {
    Map<String, Object> fields = new LinkedHashMap<>();
    for (RecordComponent component : view.getClass().getRecordComponents()) {
      fields.put(key(component), value(read(component, view)));
    }
    return fields;
  }

  private static String key(RecordComponent component) {
    return WORD_START.matcher(component.getName()).replaceAll("_").toLowerCase(Locale.ROOT);
  }

  private static Object value(Object value) {
    if (value instanceof Record view) {
      return fields(view);
    }
    return value instanceof List<?> list ? list.stream().map(StatusJson::value).toList() : value;
  }

  private static Object read(RecordComponent component, Record view) {
    try {
      return component.getAccessor().invoke(view);
    } catch (ReflectiveOperationException unreadable) {
      throw new IllegalStateException("can't read " + component, unreadable);
    }
  }
}
