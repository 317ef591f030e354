package nettletrail.configuration;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
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
  private static final String EDITION = "edition";
  private static final String ADDITIONS = "deliver";
  private static final String REMOVALS = "withdraw";
  private static final String NAME = "name";

  private final JsonValue edition;
  private final Map<String, JsonValue> additions;
  private final Map<String, JsonValue> removals;

  private DocumentPatch(
      JsonValue edition, Map<String, JsonValue> additions, Map<String, JsonValue> removals) {
    this.edition = edition;
    this.additions = additions;
    this.removals = removals;
  }

  /** Reads a patch; throws if it is not readable as a whole. */
  static DocumentPatch parse(byte[] json) throws ConfigurationException {
    JsonValue body = JsonParser.parse(json);
    new FieldReader(body, "").requiredLong(EDITION);
    Map<String, JsonValue> removals = membersOf(body, REMOVALS);
    for (Map.Entry<String, JsonValue> removal : removals.entrySet()) {
      requireStrings(removal.getKey(), removal.getValue());
    }
    return new DocumentPatch(body.member(EDITION), membersOf(body, ADDITIONS), removals);
  }

  private static Map<String, JsonValue> membersOf(JsonValue body, String field)
      throws ConfigurationException {
    JsonValue value = body.member(field);
    if (value == null || value.kind() == JsonValue.Kind.NULL) {
      return Map.of();
    }
    if (value.kind() != JsonValue.Kind.OBJECT) {
      throw new ConfigurationException(Step.PATCH, field, "expected an object");
    }
    return membersByName(value);
  }

  private static Map<String, JsonValue> membersByName(JsonValue object) {
    Map<String, JsonValue> byName = new LinkedHashMap<>();
    for (JsonValue.Member member : object.members()) {
      byName.put(member.name(), member.value());
    }
    return byName;
  }

  private static void requireStrings(String list, JsonValue names) throws ConfigurationException {
    boolean strings = names.kind() == JsonValue.Kind.ARRAY;
    for (JsonValue name : names.items()) {
      strings &= name.kind() == JsonValue.Kind.STRING;
    }
    if (!strings) {
      throw new ConfigurationException(
          Step.PATCH, REMOVALS + "." + list, "expected a list of names");
    }
  }

  /** The text of the document after this change. */
  byte[] applyTo(JsonValue document) throws ConfigurationException {
    Map<String, byte[]> result = new LinkedHashMap<>();
    for (Map.Entry<String, JsonValue> member : membersByName(document).entrySet()) {
      result.put(member.getKey(), changed(member.getKey(), member.getValue()));
    }
    for (Map.Entry<String, JsonValue> addition : additions.entrySet()) {
      result.putIfAbsent(addition.getKey(), addition.getValue().bytes());
    }
    result.put(EDITION, edition.bytes());
    return writeObject(result);
  }

  private byte[] changed(String field, JsonValue current) throws ConfigurationException {
    JsonValue added = additions.get(field);
    JsonValue removed = removals.get(field);
    if (current.kind() == JsonValue.Kind.ARRAY && (added != null || removed != null)) {
      return changedList(field, current, added, removed);
    }
    return added == null ? current.bytes() : added.bytes();
  }

  private static byte[] changedList(
      String list, JsonValue current, JsonValue added, JsonValue removed)
      throws ConfigurationException {
    if (added != null && added.kind() != JsonValue.Kind.ARRAY) {
      throw new ConfigurationException(Step.PATCH, ADDITIONS + "." + list, "expected a list");
    }
    List<JsonValue> items = new ArrayList<>(current.items());
    if (removed != null) {
      removeNamed(items, removed);
    }
    if (added != null) {
      addOrReplace(items, added);
    }
    return writeArray(items);
  }

  private static void removeNamed(List<JsonValue> items, JsonValue names) {
    Set<String> removed = new HashSet<>();
    for (JsonValue name : names.items()) {
      removed.add(name.text());
    }
    items.removeIf(item -> removed.contains(nameOf(item)));
  }

  private static void addOrReplace(List<JsonValue> items, JsonValue added) {
    Map<String, Integer> positions = new LinkedHashMap<>();
    for (int index = 0; index < items.size(); index++) {
      positions.put(nameOf(items.get(index)), index);
    }
    for (JsonValue item : added.items()) {
      String name = nameOf(item);
      Integer position = name == null ? null : positions.get(name);
      if (position == null) {
        items.add(item);
      } else {
        items.set(position, item);
      }
    }
  }

  /** The name of an item, or null if it has none. */
  private static String nameOf(JsonValue item) {
    JsonValue name = item.member(NAME);
    return name != null && name.kind() == JsonValue.Kind.STRING ? name.text() : null;
  }

  private static byte[] writeArray(List<JsonValue> items) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    String separator = "[";
    for (JsonValue item : items) {
      output.writeBytes(separator.getBytes(StandardCharsets.UTF_8));
      output.writeBytes(item.bytes());
      separator = ",";
    }
    output.writeBytes((items.isEmpty() ? "[]" : "]").getBytes(StandardCharsets.UTF_8));
    return output.toByteArray();
  }

  private static byte[] writeObject(Map<String, byte[]> members) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    String separator = "{";
    for (Map.Entry<String, byte[]> member : members.entrySet()) {
      String head = separator + JsonText.quoted(member.getKey()) + ":";
      output.writeBytes(head.getBytes(StandardCharsets.UTF_8));
      output.writeBytes(member.getValue());
      separator = ",";
    }
    output.write('}');
    return output.toByteArray();
  }
}
