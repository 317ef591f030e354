package nettletrail.configuration;

import com.jsoniter.JsonIterator;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import nettletrail.configuration.ConfigurationException.Step;

/**
 * Parses one JSON text strictly, as RFC 8259 has it.
 *
 * <p>The structure is checked here because jsoniter skips over malformed literals, numbers and
 * trailing bytes; jsoniter decodes the strings.
 */
final class JsonParser {
  /** Nesting beyond this depth is refused, so that a hostile text cannot exhaust the stack. */
  private static final int MAXIMUM_DEPTH = 128;

  private static final int FIRST_PRINTABLE = 0x20;
  private static final int UNICODE_ESCAPE_DIGITS = 4;
  private static final int HEXADECIMAL = 16;

  /** The highest bit of each of eight bytes. */
  private static final long NOT_ASCII = 0x8080808080808080L;

  private final byte[] source;
  private final String sourceName;
  private final JsonIterator stringDecoder = new JsonIterator();
  private final ParsedItemCache knownItems;

  /** The name of the member of the outermost object that is being parsed. */
  private String outermostMember = "";

  private int position;

  private JsonParser(byte[] source, String sourceName, ParsedItemCache knownItems) {
    this.source = source;
    this.sourceName = sourceName;
    this.knownItems = knownItems;
  }

  /**
   * Parses the whole text.
   *
   * @param sourceName what the text is, for messages
   * @throws ConfigurationException if the text is not exactly one JSON value in UTF-8
   */
  static JsonValue parse(byte[] source, String sourceName) throws ConfigurationException {
    return parse(source, sourceName, ParsedItemCache.none());
  }

  /**
   * Parses the whole text but for the items that are known in lists of the outermost object.
   *
   * @throws ConfigurationException as the other method
   */
  static JsonValue parse(byte[] source, String sourceName, ParsedItemCache knownItems)
      throws ConfigurationException {
    JsonParser parser = new JsonParser(source, sourceName, knownItems);
    parser.requireUtf8();
    JsonValue value = parser.parseValue(0);
    parser.skipWhitespace();
    if (parser.position < source.length) {
      throw parser.failure("more bytes after the end of the value");
    }
    return value;
  }

  private void requireUtf8() throws ConfigurationException {
    if (isAscii()) {
      return;
    }
    try {
      StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(source));
    } catch (CharacterCodingException malformed) {
      throw new ConfigurationException(Step.PARSE, sourceName, "not UTF-8");
    }
  }

  /** Eight bytes at a time, since nearly all documents are. */
  private boolean isAscii() {
    ByteBuffer bytes = ByteBuffer.wrap(source);
    while (bytes.remaining() >= Long.BYTES) {
      if ((bytes.getLong() & NOT_ASCII) != 0) {
        return false;
      }
    }
    while (bytes.hasRemaining()) {
      if (bytes.get() < 0) {
        return false;
      }
    }
    return true;
  }

  private JsonValue parseValue(int depth) throws ConfigurationException {
    if (depth > MAXIMUM_DEPTH) {
      throw failure("nested deeper than " + MAXIMUM_DEPTH);
    }
    skipWhitespace();
    return switch (peek()) {
      case '{' -> parseObject(depth);
      case '[' -> parseArray(depth);
      case '"' -> parseString();
      case 't' -> parseLiteral("true", JsonValue.Kind.BOOLEAN);
      case 'f' -> parseLiteral("false", JsonValue.Kind.BOOLEAN);
      case 'n' -> parseLiteral("null", JsonValue.Kind.NULL);
      default -> parseNumber();
    };
  }

  private JsonValue parseObject(int depth) throws ConfigurationException {
    int start = position;
    List<JsonValue.Member> members = new ArrayList<>();
    position++;
    skipWhitespace();
    if (peek() != '}') {
      members.add(parseMember(depth));
      while (continuesAfterValue('}')) {
        members.add(parseMember(depth));
      }
    }
    position++;
    return JsonValue.object(source, start, position, members);
  }

  private JsonValue.Member parseMember(int depth) throws ConfigurationException {
    skipWhitespace();
    JsonValue key = parseString();
    if (depth == 0) {
      outermostMember = key.text();
    }
    skipWhitespace();
    expect(':');
    return new JsonValue.Member(key, parseValue(depth + 1));
  }

  private JsonValue parseArray(int depth) throws ConfigurationException {
    int start = position;
    List<JsonValue> items = new ArrayList<>();
    position++;
    skipWhitespace();
    if (peek() != ']') {
      items.add(parseItem(depth));
      while (continuesAfterValue(']')) {
        items.add(parseItem(depth));
      }
    }
    position++;
    return JsonValue.array(source, start, position, items);
  }

  private JsonValue parseItem(int depth) throws ConfigurationException {
    skipWhitespace();
    ParsedItemCache.Item known =
        depth == 1 ? knownItems.at(outermostMember, source, position) : null;
    if (known == null) {
      return parseValue(depth + 1);
    }
    int start = position;
    position += known.length();
    return JsonValue.known(source, start, position, known.model());
  }

  /** Whether a comma follows (consumed) rather than the closing bracket (not consumed). */
  private boolean continuesAfterValue(char closing) throws ConfigurationException {
    skipWhitespace();
    if (peek() == closing) {
      return false;
    }
    expect(',');
    return true;
  }

  private JsonValue parseString() throws ConfigurationException {
    int start = position;
    expect('"');
    while (peek() != '"') {
      if (peek() < FIRST_PRINTABLE) {
        throw failure("control character in a string");
      }
      if (peek() == '\\') {
        position++;
        checkEscape();
      }
      position++;
    }
    position++;
    return JsonValue.string(source, start, position, decode(start));
  }

  /** Checks the escape whose letter is at the position; leaves the position on its last byte. */
  private void checkEscape() throws ConfigurationException {
    int letter = peek();
    if ("\"\\/bfnrtu".indexOf(letter) < 0) {
      throw failure("unknown escape");
    }
    if (letter != 'u') {
      return;
    }
    for (int digit = 0; digit < UNICODE_ESCAPE_DIGITS; digit++) {
      position++;
      if (Character.digit(peek(), HEXADECIMAL) < 0) {
        throw failure("a unicode escape without four hexadecimal digits");
      }
    }
  }

  private String decode(int start) throws ConfigurationException {
    try {
      stringDecoder.reset(source, start, position);
      return stringDecoder.readString();
    } catch (IOException | RuntimeException undecodable) {
      position = start;
      throw failure("a string that cannot be decoded");
    }
  }

  private JsonValue parseLiteral(String word, JsonValue.Kind kind) throws ConfigurationException {
    int start = position;
    for (int index = 0; index < word.length(); index++) {
      expect(word.charAt(index));
    }
    return JsonValue.literal(kind, source, start, position);
  }

  private JsonValue parseNumber() throws ConfigurationException {
    int start = position;
    if (peek() == '-') {
      position++;
    }
    if (peek() == '0') {
      position++;
    } else {
      requireDigits();
    }
    if (nextIs('.')) {
      position++;
      requireDigits();
    }
    if (nextIs('e') || nextIs('E')) {
      position++;
      if (nextIs('+') || nextIs('-')) {
        position++;
      }
      requireDigits();
    }
    return JsonValue.literal(JsonValue.Kind.NUMBER, source, start, position);
  }

  private void requireDigits() throws ConfigurationException {
    if (peek() < '0' || peek() > '9') {
      throw failure("no value of JSON");
    }
    while (position < source.length && source[position] >= '0' && source[position] <= '9') {
      position++;
    }
  }

  private boolean nextIs(char character) {
    return position < source.length && source[position] == character;
  }

  private void expect(char character) throws ConfigurationException {
    if (peek() != character) {
      throw failure("expected '" + character + "'");
    }
    position++;
  }

  /** The byte at the position, unsigned. */
  private int peek() throws ConfigurationException {
    if (position >= source.length) {
      throw failure("the text ends early");
    }
    return Byte.toUnsignedInt(source[position]);
  }

  private void skipWhitespace() {
    while (position < source.length && isWhitespace(source[position])) {
      position++;
    }
  }

  private static boolean isWhitespace(byte character) {
    return character == ' ' || character == '\n' || character == '\r' || character == '\t';
  }

  private ConfigurationException failure(String reason) {
    return new ConfigurationException(Step.PARSE, sourceName + " byte " + position, reason);
  }
}
