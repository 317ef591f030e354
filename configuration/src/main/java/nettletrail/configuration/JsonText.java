package nettletrail.configuration;

/** Writes JSON strings. */
final class JsonText {
  private static final int FIRST_PRINTABLE = 0x20;

  private JsonText() {}

  /** The text in quotes, with the escapes that JSON requires. */
  static String quoted(String text) {
    StringBuilder output = new StringBuilder(text.length() + 2);
    output.append('"');
    for (int index = 0; index < text.length(); index++) {
      appendEscaped(output, text.charAt(index));
    }
    return output.append('"').toString();
  }

  private static void appendEscaped(StringBuilder output, char character) {
    if (character == '"' || character == '\\') {
      output.append('\\').append(character);
    } else if (character < FIRST_PRINTABLE || Character.isSurrogate(character)) {
      output.append(String.format("\\u%04x", (int) character));
    } else {
      output.append(character);
    }
  }
}
