package nettletrail.configuration;

import java.nio.charset.CharacterCodingException;
import java.util.ArrayList;
import java.util.List;
import nettletrail.configuration.ConfigurationException.Step;

/**
 * Parses one JSON text strictly (RFC 8259): no comments, no trailing commas, nothing after the
 * value. The last of several members with one name counts, see {@link JsonValue#member}.
 */
final class JsonParser {
  /** Deeper nesting is rejected, so that a malicious text cannot exhaust the stack. */
  private static final int MAX_DEPTH = 128;

  /** The depth of a list's items when the list is a member of the outermost object. */
  private static final int OUTERMOST_LIST_DEPTH = 1;

  private final byte[] source;
  private final JsonLexer lexer;
  private final ParsedItemCache cache;

  /** The name of the member of the outermost object that is being parsed. */
  private String outermostMember = "";

  private JsonParser(byte[] source, JsonLexer lexer, ParsedItemCache cache) {
    this.source = source;
    this.lexer = lexer;
    this.cache = cache;
  }

  /**
   * Parses a text.
   *
   * @param sourceName what the text is, for messages
   * @throws ConfigurationException with step PARSE if the text isn't exactly one JSON value in
   *     UTF-8
   */
  static JsonValue parse(byte[] source, String sourceName) throws ConfigurationException {
    return parse(source, sourceName, ParsedItemCache.empty());
  }

  /**
   * Parses a text. Items of the outermost object's lists that are in the cache are not parsed, but
   * become {@link JsonValue#cached} values.
   *
   * @throws ConfigurationException as the other method
   */
  static JsonValue parse(byte[] source, String sourceName, ParsedItemCache cache)
      throws ConfigurationException {
    requireUtf8(source, sourceName);
    JsonLexer lexer = new JsonLexer(source, sourceName);
    JsonValue value = new JsonParser(source, lexer, cache).parseValue(0);
    lexer.skipWhitespace();
    if (!lexer.isAtEnd()) {
      throw lexer.failure("more bytes after the end of the value");
    }
    return value;
  }

  private static void requireUtf8(byte[] source, String sourceName) throws ConfigurationException {
    try {
      Utf8Validator.requireValid(source);
    } catch (CharacterCodingException malformed) {
      throw new ConfigurationException(Step.PARSE, sourceName, "not UTF-8", malformed);
    }
  }

  private JsonValue parseValue(int depth) throws ConfigurationException {
    if (depth > MAX_DEPTH) {
      throw lexer.failure("nested deeper than " + MAX_DEPTH);
    }
    lexer.skipWhitespace();
    return switch (lexer.peek()) {
      case '{' -> parseObject(depth);
      case '[' -> parseArray(depth);
      case '"' -> lexer.readString();
      case 't' -> lexer.readLiteral("true", JsonValue.Kind.BOOLEAN);
      case 'f' -> lexer.readLiteral("false", JsonValue.Kind.BOOLEAN);
      case 'n' -> lexer.readLiteral("null", JsonValue.Kind.NULL);
      default -> lexer.readNumber();
    };
  }

  private JsonValue parseObject(int depth) throws ConfigurationException {
    int start = lexer.position();
    List<JsonValue.Member> members = new ArrayList<>();
    lexer.expect('{');
    lexer.skipWhitespace();
    if (lexer.peek() != '}') {
      members.add(parseMember(depth));
      while (hasNextAfterValue('}')) {
        members.add(parseMember(depth));
      }
    }
    lexer.expect('}');
    return JsonValue.object(source, start, lexer.position(), members);
  }

  private JsonValue.Member parseMember(int depth) throws ConfigurationException {
    lexer.skipWhitespace();
    JsonValue key = lexer.readString();
    if (depth == 0) {
      outermostMember = key.text();
    }
    lexer.skipWhitespace();
    lexer.expect(':');
    return new JsonValue.Member(key, parseValue(depth + 1));
  }

  private JsonValue parseArray(int depth) throws ConfigurationException {
    int start = lexer.position();
    List<JsonValue> items = new ArrayList<>();
    lexer.expect('[');
    lexer.skipWhitespace();
    if (lexer.peek() != ']') {
      items.add(parseItem(depth));
      while (hasNextAfterValue(']')) {
        items.add(parseItem(depth));
      }
    }
    lexer.expect(']');
    return JsonValue.array(source, start, lexer.position(), items);
  }

  private JsonValue parseItem(int depth) throws ConfigurationException {
    lexer.skipWhitespace();
    int start = lexer.position();
    ParsedItemCache.Item cached =
        depth == OUTERMOST_LIST_DEPTH ? cache.find(outermostMember, source, start) : null;
    if (cached == null) {
      return parseValue(depth + 1);
    }
    lexer.skip(cached.length());
    return JsonValue.cached(source, start, lexer.position(), cached.model());
  }

  /** Whether a comma is next, which is consumed, rather than the closing bracket, which isn't. */
  private boolean hasNextAfterValue(char closing) throws ConfigurationException {
    lexer.skipWhitespace();
    if (lexer.peek() == closing) {
      return false;
    }
    lexer.expect(',');
    return true;
  }
}
