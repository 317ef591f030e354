package nettletrail.configuration;

import java.util.LinkedHashMap;
import java.util.Map;
import nettletrail.configuration.ConfigurationException.Step;

/**
 * An operator's patch of a document: a new edition, items to remove and items to upsert.
 *
 * <p>Unlike JSON merge patch (RFC 7396), which replaces arrays as a unit, it addresses the items of
 * lists by name. Removals are applied first; an upserted item takes the position of the one with
 * its name, or goes to the end of its list. Items that stay are copied byte by byte, so that
 * numbers and fields that this program doesn't know come back unchanged.
 */
final class DocumentPatch {
  private static final String SOURCE_NAME = "patch";
  private static final String EDITION = "edition";
  private static final String UPSERTS = "deliver";
  private static final String REMOVALS = "withdraw";

  private final JsonValue edition;

  /** For each member of the document, the items to upsert, or its new value if it is no list. */
  private final Map<String, JsonValue.Member> upserts;

  /** For each list of the document, the names of the items to remove. */
  private final Map<String, JsonValue.Member> removals;

  private DocumentPatch(JsonValue body) throws ConfigurationException {
    this.edition = body.member(EDITION);
    this.upserts = membersOf(body, UPSERTS);
    this.removals = membersOf(body, REMOVALS);
  }

  /**
   * Parses a patch.
   *
   * @throws ConfigurationException with step PARSE, READ_FIELDS or PATCH if it isn't complete and
   *     well-formed
   */
  static DocumentPatch parse(byte[] json) throws ConfigurationException {
    JsonValue body = JsonParser.parse(json, SOURCE_NAME);
    new FieldReader(body, SOURCE_NAME).requiredExactLong(EDITION);
    DocumentPatch patch = new DocumentPatch(body);
    for (JsonValue.Member removal : patch.removals.values()) {
      requireListOfNames(removal);
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

  private static void requireListOfNames(JsonValue.Member removal) throws ConfigurationException {
    boolean isListOfNames = removal.value().kind() == JsonValue.Kind.ARRAY;
    for (JsonValue name : removal.value().items()) {
      isListOfNames &= name.kind() == JsonValue.Kind.STRING;
    }
    if (!isListOfNames) {
      throw failure(REMOVALS + "." + removal.name(), "expected a list of names");
    }
  }

  /**
   * The text of the document after this patch; not validated.
   *
   * @throws ConfigurationException with step PATCH if items to upsert in a list are no list
   */
  byte[] applyTo(JsonValue document) throws ConfigurationException {
    Map<String, JsonValue.Member> current = membersByName(document);
    JsonWriter output = JsonWriter.object();
    for (JsonValue.Member member : current.values()) {
      output.member(member.key().bytes(), patchedValue(member));
    }
    for (JsonValue.Member upsert : upserts.values()) {
      if (!current.containsKey(upsert.name())) {
        output.member(upsert.key().bytes(), upsert.value().bytes());
      }
    }
    return output.toBytes();
  }

  private byte[] patchedValue(JsonValue.Member member) throws ConfigurationException {
    if (member.name().equals(EDITION)) {
      return edition.bytes();
    }
    JsonValue.Member upsert = upserts.get(member.name());
    JsonValue.Member removal = removals.get(member.name());
    boolean isNamed = upsert != null || removal != null;
    if (isNamed && member.value().kind() == JsonValue.Kind.ARRAY) {
      return patchedList(member.value(), upsert, removal);
    }
    return upsert == null ? member.value().bytes() : upsert.value().bytes();
  }

  /** The list after a removal and an upsert; either may be null. */
  private static byte[] patchedList(
      JsonValue list, JsonValue.Member upsert, JsonValue.Member removal)
      throws ConfigurationException {
    NamedItems items = new NamedItems(list);
    if (removal != null) {
      items.remove(removal.value());
    }
    if (upsert != null) {
      requireList(upsert);
      items.upsert(upsert.value().items());
    }
    return items.toBytes();
  }

  private static void requireList(JsonValue.Member upsert) throws ConfigurationException {
    if (upsert.value().kind() != JsonValue.Kind.ARRAY) {
      throw failure(UPSERTS + "." + upsert.name(), "expected a list");
    }
  }

  private static ConfigurationException failure(String path, String reason) {
    return new ConfigurationException(Step.PATCH, SOURCE_NAME + "." + path, reason);
  }
}
