package nettletrail.fleet.cli;

import java.util.List;
import java.util.Locale;

/**
 * One difference between two configurations.
 *
 * @param kind how the item differs
 * @param section the top-level field of the configuration, such as {@code routes}
 * @param name the item's name; empty for a section that holds no named items
 * @param details for {@link Kind#CHANGED}: each changed field with its old and its new value
 */
record ItemChange(Kind kind, String section, String name, List<String> details) {
  /** How an item differs. */
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

  /** The difference for {@code --json}. */
  JsonObject toJson() {
    return new JsonObject()
        .put("change", kind.name().toLowerCase(Locale.ROOT))
        .put("section", section)
        .put("name", name)
        .putTexts("details", details);
  }

  /** The difference as one line of text. */
  @Override
  public String toString() {
    String item = name.isEmpty() ? section : section + " " + name;
    String suffix = details.isEmpty() ? "" : ": " + String.join(", ", details);
    return kind.sign + " " + item + suffix;
  }
}
