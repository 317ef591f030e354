package nettletrail.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettletrail.configuration.ConfigurationException.Step;

/**
 * A change of named items.
 *
 * <p>Items that stay are copied byte by byte. Removals come first; an added item takes the place of
 * the one with its name, or goes to the end of its list.
 */
final class DocumentPatch {
  private static final String SOURCE_NAME = "patch";
  private static final String EDITION = "edition";
  private static final String ADDITIONS = "deliver";
  private static final String REMOVALS = "withdraw";
  private static final String NAME = "name";

  private final JsonValue edition;
  private final Map<String, JsonValue.Member> additions;
  private final Map<String, JsonValue.Member> removals;

  private DocumentPatch(JsonValue body) throws ConfigurationException {
    this.edition = body.member(EDITION);
    this.additions = membersOf(body, ADDITIONS);
    this.removals = membersOf(body, REMOVALS);
  }

  /**
   * Reads a patch.
   *
   * @throws ConfigurationException if it cannot be read as a whole
   */
  static DocumentPatch parse(byte[] json) throws ConfigurationException {
    JsonValue body = JsonParser.parse(json, SOURCE_NAME);
    new FieldReader(body, SOURCE_NAME).requiredExactLong(EDITION);
    DocumentPatch patch = new DocumentPatch(body);
    for (JsonValue.Member removal : patch.removals.values()) {
      requireNames(removal);
    }
    return patch;
  }

  private static Map<String, JsonValue.Member> membersOf(JsonValue body, String field)
      throws ConfigurationException {
    JsonValue value = body.member(field);
    if (value == null || value.kind() == JsonValue.Kind.NULL) {
      return Map.of();
    }
    if (value.kind() != JsonValue.Kind.OBJECT) {
      throw failure(field, "expected an object");
    }
    return membersByName(value);
  }

  /** The members in the order written; of several with one name, the last. */
  private static Map<String, JsonValue.Member> membersByName(JsonValue object) {
    Map<String, JsonValue.Member> byName = new LinkedHashMap<>();
    for (JsonValue.Member member : object.members()) {
      byName.put(member.name(), member);
    }
    return byName;
  }

  private static void requireNames(JsonValue.Member removal) throws ConfigurationException {
    boolean names = removal.value().kind() == JsonValue.Kind.ARRAY;
    for (JsonValue name : removal.value().items()) {
      names &= name.kind() == JsonValue.Kind.STRING;
    }
    if (!names) {
      throw failure(REMOVALS + "." + removal.name(), "expected a list of names");
    }
  }

  /** The text of the document after this change. */
  byte[] applyTo(JsonValue document) throws ConfigurationException {
    Map<String, JsonValue.Member> current = membersByName(document);
    JsonOutput output = JsonOutput.object();
    for (JsonValue.Member member : current.values()) {
      output.member(member.key().bytes(), changed(member));
    }
    for (JsonValue.Member addition : additions.values()) {
      if (!current.containsKey(addition.name())) {
        output.member(addition.key().bytes(), addition.value().bytes());
      }
    }
    return output.toBytes();
  }

  private byte[] changed(JsonValue.Member member) throws ConfigurationException {
    if (member.name().equals(EDITION)) {
      return edition.bytes();
    }
    JsonValue.Member added = additions.get(member.name());
    JsonValue.Member removed = removals.get(member.name());
    boolean named = added != null || removed != null;
    if (named && member.value().kind() == JsonValue.Kind.ARRAY) {
      return changedList(member.value(), added, removed);
    }
    return added == null ? member.value().bytes() : added.value().bytes();
  }

  private static byte[] changedList(
      JsonValue list, JsonValue.Member added, JsonValue.Member removed)
      throws ConfigurationException {
    List<JsonValue> items = new ArrayList<>(list.items());
    if (removed != null) {
      removeNamed(items, removed.value());
    }
    if (added != null) {
      addOrReplace(items, added);
    }
    JsonOutput output = JsonOutput.array();
    for (JsonValue item : items) {
      output.item(item.bytes());
    }
    return output.toBytes();
  }

  private static void removeNamed(List<JsonValue> items, JsonValue names) {
    Set<String> removed = new HashSet<>();
    for (JsonValue name : names.items()) {
      removed.add(name.text());
    }
    items.removeIf(item -> removed.contains(nameOf(item)));
  }

  private static void addOrReplace(List<JsonValue> items, JsonValue.Member added)
      throws ConfigurationException {
    if (added.value().kind() != JsonValue.Kind.ARRAY) {
      throw failure(ADDITIONS + "." + added.name(), "expected a list");
    }
    Map<String, Integer> positions = positionsByName(items);
    for (JsonValue item : added.value().items()) {
      Integer position = positions.get(nameOf(item));
      if (position == null) {
        items.add(item);
      } else {
        items.set(position, item);
      }
    }
  }

  private static Map<String, Integer> positionsByName(List<JsonValue> items) {
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

  private static ConfigurationException failure(String place, String reason) {
    return new ConfigurationException(Step.PATCH, SOURCE_NAME + "." + place, reason);
  }
}
