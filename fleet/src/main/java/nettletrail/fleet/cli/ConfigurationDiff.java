package nettletrail.fleet.cli;

import com.jsoniter.JsonIterator;
import com.jsoniter.ValueType;
import com.jsoniter.any.Any;
import com.jsoniter.spi.JsonException;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Compares two configurations item by item. Order and layout don't matter; keys of tenants are
 * never printed.
 */
final class ConfigurationDiff {
  private static final String NAME_FIELD = "name";
  private static final Set<String> SECRET_FIELDS = Set.of("passes");
  private static final int MAX_VALUE_LENGTH = 80;
  private static final String ABSENT = "nothing";

  private final List<ItemChange> changes = new ArrayList<>();

  private ConfigurationDiff() {}

  /**
   * What changes from one configuration to another, section by section.
   *
   * @throws JsonException if one of them is no JSON object
   */
  static List<ItemChange> between(byte[] before, byte[] after) {
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
    } else if (!canonical(before).equals(canonical(after))) {
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
      if (!canonical(oldValue).equals(canonical(newValue))) {
        details.add(detail(field, oldValue, newValue));
      }
    }
    return details;
  }

  private static String detail(String field, Any before, Any after) {
    if (SECRET_FIELDS.contains(field)) {
      return field + " changed";
    }
    return field + " " + shortened(canonical(before)) + " -> " + shortened(canonical(after));
  }

  private static String shortened(String text) {
    return text.length() <= MAX_VALUE_LENGTH ? text : text.substring(0, MAX_VALUE_LENGTH) + "...";
  }

  /** A value's text that is the same for all ways of writing it. */
  private static String canonical(Any value) {
    if (value == null) {
      return ABSENT;
    }
    return switch (value.valueType()) {
      case OBJECT -> canonicalObject(value);
      case ARRAY ->
          value.asList().stream()
              .map(ConfigurationDiff::canonical)
              .collect(Collectors.joining(",", "[", "]"));
      case NUMBER -> new BigDecimal(value.toString()).stripTrailingZeros().toPlainString();
      case STRING -> '"' + value.toString() + '"';
      case BOOLEAN, NULL, INVALID -> value.toString();
    };
  }

  private static String canonicalObject(Any object) {
    Map<String, Any> sorted = new TreeMap<>(object.asMap());
    return sorted.entrySet().stream()
        .map(field -> field.getKey() + ":" + canonical(field.getValue()))
        .collect(Collectors.joining(",", "{", "}"));
  }
}
