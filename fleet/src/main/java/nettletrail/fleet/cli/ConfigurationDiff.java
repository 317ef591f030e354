package nettletrail.fleet.cli;

import com.jsoniter.JsonIterator;
import com.jsoniter.ValueType;
import com.jsoniter.any.Any;
import com.jsoniter.spi.JsonException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Compares two configurations item by item. Order and layout don't matter; the keys of tenants are
 * never part of the result.
 */
final class ConfigurationDiff {
  private static final String NAME_FIELD = "name";
  private static final Set<String> SECRET_FIELDS = Set.of("passes");
  private static final int MAX_VALUE_LENGTH = 80;

  private final List<ItemChange> changes = new ArrayList<>();

  private ConfigurationDiff() {}

  /**
   * The changes from the core's configuration to another one, section by section.
   *
   * @param before the core's response with its configuration
   * @throws CommandException if one of them isn't a JSON object
   */
  static List<ItemChange> between(CoreResponse before, byte[] after) throws CommandException {
    try {
      return between(before.body(), after);
    } catch (JsonException malformed) {
      throw before.malformed(malformed.getMessage(), malformed);
    }
  }

  private static List<ItemChange> between(byte[] before, byte[] after) {
    ConfigurationDiff diff = new ConfigurationDiff();
    Map<String, Any> oldSections = fieldsOf(JsonIterator.deserialize(before));
    Map<String, Any> newSections = fieldsOf(JsonIterator.deserialize(after));
    for (String section : namesOf(oldSections, newSections)) {
      diff.compareSection(section, oldSections.get(section), newSections.get(section));
    }
    return diff.changes;
  }

  private static Map<String, Any> fieldsOf(Any object) {
    if (object == null || object.valueType() != ValueType.OBJECT) {
      throw new JsonException("it isn't a JSON object");
    }
    return object.asMap();
  }

  private static Set<String> namesOf(Map<String, Any> first, Map<String, Any> second) {
    Set<String> names = new TreeSet<>(first.keySet());
    names.addAll(second.keySet());
    return names;
  }

  private void compareSection(String section, Any before, Any after) {
    if (isListOfNamedItems(before) && isListOfNamedItems(after)) {
      Map<String, Any> oldItems = itemsOf(before);
      Map<String, Any> newItems = itemsOf(after);
      for (String name : namesOf(oldItems, newItems)) {
        compareItem(section, name, oldItems.get(name), newItems.get(name));
      }
    } else {
      compareItem(section, "", before, after);
    }
  }

  private static boolean isListOfNamedItems(Any value) {
    if (value == null) {
      return true;
    }
    if (value.valueType() != ValueType.ARRAY) {
      return false;
    }
    return value.asList().stream().allMatch(ConfigurationDiff::isNamed);
  }

  private static boolean isNamed(Any item) {
    return item.valueType() == ValueType.OBJECT
        && item.get(NAME_FIELD).valueType() == ValueType.STRING;
  }

  private static Map<String, Any> itemsOf(Any list) {
    Map<String, Any> items = new LinkedHashMap<>();
    if (list != null) {
      list.asList().forEach(item -> items.put(item.get(NAME_FIELD).toString(), item));
    }
    return items;
  }

  private void compareItem(String section, String name, Any before, Any after) {
    if (before == null) {
      changes.add(new ItemChange(ItemChange.Kind.ADDED, section, name, List.of()));
    } else if (after == null) {
      changes.add(new ItemChange(ItemChange.Kind.REMOVED, section, name, List.of()));
    } else if (!CanonicalJson.of(before).equals(CanonicalJson.of(after))) {
      List<String> details = details(section, before, after);
      changes.add(new ItemChange(ItemChange.Kind.CHANGED, section, name, details));
    }
  }

  private static List<String> details(String section, Any before, Any after) {
    boolean objects =
        before.valueType() == ValueType.OBJECT && after.valueType() == ValueType.OBJECT;
    if (!objects) {
      return List.of(detail(section, before, after));
    }
    List<String> details = new ArrayList<>();
    for (String field : namesOf(before.asMap(), after.asMap())) {
      Any oldValue = before.asMap().get(field);
      Any newValue = after.asMap().get(field);
      if (!CanonicalJson.of(oldValue).equals(CanonicalJson.of(newValue))) {
        details.add(detail(field, oldValue, newValue));
      }
    }
    return details;
  }

  private static String detail(String field, Any before, Any after) {
    if (SECRET_FIELDS.contains(field)) {
      return field + " changed";
    }
    return field
        + " "
        + shortened(CanonicalJson.of(before))
        + " -> "
        + shortened(CanonicalJson.of(after));
  }

  private static String shortened(String text) {
    return text.length() <= MAX_VALUE_LENGTH ? text : text.substring(0, MAX_VALUE_LENGTH) + "...";
  }
}
