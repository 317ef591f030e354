package nettletrail.configuration;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * One value of a parsed JSON text, with the range of bytes it was written in. Immutable; the text
 * is not copied.
 *
 * <p>Keeping the range lets a patch copy values as they were written, so that numbers and fields
 * that this program does not know come back unchanged.
 */
final class JsonValue {
  private final Kind kind;
  private final byte[] source;
  private final int start;
  private final int end;
  private final String text;
  private final List<Member> members;
  private final List<JsonValue> items;

  /** What was read from the same bytes earlier; null if this value was parsed. */
  private final Object cachedModel;

  enum Kind {
    OBJECT,
    ARRAY,
    STRING,
    NUMBER,
    BOOLEAN,
    NULL
  }

  /**
   * A name and a value of an object.
   *
   * @param key the name, a string
   */
  record Member(JsonValue key, JsonValue value) {
    String name() {
      return key.text();
    }
  }

  private JsonValue(
      Kind kind,
      byte[] source,
      int start,
      int end,
      String text,
      List<Member> members,
      List<JsonValue> items,
      Object cachedModel) {
    this.kind = kind;
    this.source = source;
    this.start = start;
    this.end = end;
    this.text = text;
    this.members = members;
    this.items = items;
    this.cachedModel = cachedModel;
  }

  /** An object that wasn't parsed, since a {@link ParsedItemCache} has the model of its bytes. */
  static JsonValue cached(byte[] source, int start, int end, Object cachedModel) {
    return new JsonValue(Kind.OBJECT, source, start, end, null, List.of(), List.of(), cachedModel);
  }

  static JsonValue object(byte[] source, int start, int end, List<Member> members) {
    return new JsonValue(Kind.OBJECT, source, start, end, null, members, List.of(), null);
  }

  static JsonValue array(byte[] source, int start, int end, List<JsonValue> items) {
    return new JsonValue(Kind.ARRAY, source, start, end, null, List.of(), items, null);
  }

  static JsonValue string(byte[] source, int start, int end, String text) {
    return new JsonValue(Kind.STRING, source, start, end, text, List.of(), List.of(), null);
  }

  static JsonValue literal(Kind kind, byte[] source, int start, int end) {
    return new JsonValue(kind, source, start, end, null, List.of(), List.of(), null);
  }

  Kind kind() {
    return kind;
  }

  /** The decoded text of a string; the text as written of a number, boolean or null. */
  String text() {
    if (kind == Kind.STRING) {
      return text;
    }
    return new String(source, start, end - start, StandardCharsets.UTF_8);
  }

  /** The members of an object in the order written; empty for other kinds. */
  List<Member> members() {
    return members;
  }

  /** The items of an array in the order written; empty for other kinds. */
  List<JsonValue> items() {
    return items;
  }

  /** The value of a member, the last one if a name stands twice; null if there is none. */
  JsonValue member(String name) {
    for (int index = members.size() - 1; index >= 0; index--) {
      if (members.get(index).name().equals(name)) {
        return members.get(index).value();
      }
    }
    return null;
  }

  /** The model of a {@link #cached} value; null for others. */
  Object cachedModel() {
    return cachedModel;
  }

  /** The offset of its first byte in the text. */
  int start() {
    return start;
  }

  /** The offset after its last byte in the text. */
  int end() {
    return end;
  }

  /** The bytes this value was written in; a copy. */
  byte[] bytes() {
    return Arrays.copyOfRange(source, start, end);
  }
}
