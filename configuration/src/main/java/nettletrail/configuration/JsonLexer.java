package nettletrail.configuration;

import com.jsoniter.JsonIterator;
import java.io.IOException;
import nettletrail.configuration.ConfigurationException.Step;

/**
 * Reads the tokens of one JSON text: strings, numbers, literals and single characters (RFC 8259,
 * sections 2, 3, 6 and 7).
 *
 * <p>Tokens are checked here because jsoniter skips over malformed literals and numbers; jsoniter
 * only decodes the strings. Every failure names the byte at which it arose.
 */
final class JsonLexer {
  /** Characters below have to be escaped in a string (RFC 8259, section 7). */
  private static final int MIN_UNESCAPED = 0x20;

  private static final String ESCAPES = "\"\\/bfnrtu";
  private static final int UNICODE_ESCAPE_DIGITS = 4;
  private static final int HEXADECIMAL = 16;

  private final byte[] source;
  private final String sourceName;
  private final JsonIterator stringDecoder = new JsonIterator();
  private int position;

  /**
   * A lexer at the beginning of a text.
   *
   * @param source well-formed UTF-8
   * @param sourceName what the text is, for messages
   */
  JsonLexer(byte[] source, String sourceName) {
    this.source = source;
    this.sourceName = sourceName;
  }

  /** The offset of the next byte. */
  int position() {
    return position;
  }

  boolean isAtEnd() {
    return position >= source.length;
  }

  /** Moves on without reading. */
  void skip(int bytes) {
    position += bytes;
  }

  void skipWhitespace() {
    while (position < source.length && isWhitespace(source[position])) {
      position++;
    }
  }

  private static boolean isWhitespace(byte character) {
    return character == ' ' || character == '\n' || character == '\r' || character == '\t';
  }

  /** The next byte, unsigned; it is not consumed. */
  int peek() throws ConfigurationException {
    if (position >= source.length) {
      throw failure("the text ends early");
    }
    return Byte.toUnsignedInt(source[position]);
  }

  /** Consumes this character. */
  void expect(char character) throws ConfigurationException {
    if (peek() != character) {
      throw failure("expected '" + character + "'");
    }
    position++;
  }

  JsonValue readString() throws ConfigurationException {
    int start = position;
    expect('"');
    while (peek() != '"') {
      if (peek() < MIN_UNESCAPED) {
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

  /** Checks the escape whose character after the backslash is next; stops at its last byte. */
  private void checkEscape() throws ConfigurationException {
    int escape = peek();
    if (ESCAPES.indexOf(escape) < 0) {
      throw failure("unknown escape");
    }
    if (escape != 'u') {
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
      throw failure("a string that cannot be decoded", undecodable);
    }
  }

  /** Reads one of {@code true}, {@code false} and {@code null}. */
  JsonValue readLiteral(String literal, JsonValue.Kind kind) throws ConfigurationException {
    int start = position;
    for (int index = 0; index < literal.length(); index++) {
      expect(literal.charAt(index));
    }
    return JsonValue.literal(kind, source, start, position);
  }

  JsonValue readNumber() throws ConfigurationException {
    int start = position;
    if (peek() == '-') {
      position++;
    }
    if (peek() == '0') {
      position++;
    } else {
      skipDigits();
    }
    if (nextIs('.')) {
      position++;
      skipDigits();
    }
    if (nextIs('e') || nextIs('E')) {
      position++;
      skipExponent();
    }
    return JsonValue.literal(JsonValue.Kind.NUMBER, source, start, position);
  }

  private void skipExponent() throws ConfigurationException {
    if (nextIs('+') || nextIs('-')) {
      position++;
    }
    skipDigits();
  }

  /** Skips at least one digit. */
  private void skipDigits() throws ConfigurationException {
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

  /** A failure at the position. */
  ConfigurationException failure(String reason) {
    return failure(reason, null);
  }

  private ConfigurationException failure(String reason, Throwable cause) {
    return new ConfigurationException(Step.PARSE, sourceName + " byte " + position, reason, cause);
  }
}
