package nettletrail.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A list whose items are identified by the string in their member {@code name}; items without one
 * are kept and never replaced. Of several items with one name the last is replaced.
 */
final class NamedItems {
  private static final String NAME = "name";

  private final List<JsonValue> items;

  /** A copy of a list's items. */
  NamedItems(JsonValue list) {
    this.items = new ArrayList<>(list.items());
  }

  /**
   * Removes the items with these names; a name without an item is ignored.
   *
   * @param names a list of strings
   */
  void remove(JsonValue names) {
    Set<String> removed = new HashSet<>();
    for (JsonValue name : names.items()) {
      removed.add(name.text());
    }
    items.removeIf(item -> removed.contains(nameOf(item)));
  }

  /** Replaces the items that have the names of these, in their positions, and appends the rest. */
  void upsert(List<JsonValue> changed) {
    Map<String, Integer> positions = positionsByName();
    for (JsonValue item : changed) {
      Integer position = positions.get(nameOf(item));
      if (position == null) {
        items.add(item);
      } else {
        items.set(position, item);
      }
    }
  }

  /** The JSON text of the list; each item in the bytes that it was written in. */
  byte[] toBytes() {
    JsonWriter output = JsonWriter.array();
    for (JsonValue item : items) {
      output.item(item.bytes());
    }
    return output.toBytes();
  }

  private Map<String, Integer> positionsByName() {
    Map<String, Integer> positions = new HashMap<>();
    for (int index = 0; index < items.size(); index++) {
      positions.put(nameOf(items.get(index)), index);
    }
    positions.remove(null);
    return positions;
  }

  /** The name of an item, or null if it has none. */
  private static String nameOf(JsonValue item) {
    JsonValue name = item.member(NAME);
    return name != null && name.kind() == JsonValue.Kind.STRING ? name.text() : null;
  }
}
