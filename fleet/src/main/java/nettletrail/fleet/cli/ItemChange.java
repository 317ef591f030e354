package nettletrail.fleet.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * One difference between two configurations.
 *
 * @param kind what became of the item
 * @param section the part of the configuration, such as {@code routes}
 * @param name the item's name; empty for a section that holds no named items
 * @param details for a change: each field with its old and its new value
 */
record ItemChange(Kind kind, String section, String name, List<String> details) {
  /** What became of an item. */
  enum Kind {
    /** Only in the newer configuration. */
    ADDED("+"),
    /** Only in the older configuration. */
    REMOVED("-"),
    /** In both, but not the same. */
    CHANGED("~");

    private final String sign;

    Kind(String sign) {
      this.sign = sign;
    }
  }

  /** The difference as fields of a JSON object. */
  Map<String, Object> toJson() {
    Map<String, Object> object = new LinkedHashMap<>();
    object.put("change", kind.name().toLowerCase(Locale.ROOT));
    object.put("section", section);
    object.put("name", name);
    object.put("details", details);
    return object;
  }

  @Override
  public String toString() {
    String item = name.isEmpty() ? section : section + " " + name;
    String suffix = details.isEmpty() ? "" : ": " + String.join(", ", details);
    return kind.sign + " " + item + suffix;
  }
}
