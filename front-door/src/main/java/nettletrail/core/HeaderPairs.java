package nettletrail.core;

/**
 * Parses headers of the form {@code units=2,spread=3} and their numbers. A number consists of
 * digits and at most one point: the standard library's parsers also accept "NaN", "1e3", "0x1p3"
 * and "5d".
 */
final class HeaderPairs {
  /** Longest accepted number, in characters; more than any valid value needs. */
  private static final int MAX_DIGITS = 12;

  private HeaderPairs() {}

  /** The value of this name, or null; the first one if the name is repeated. */
  static String value(String text, String name) {
    int start = valueStart(text, name, 0);
    if (start < 0) {
      return null;
    }
    int comma = text.indexOf(',', start);
    return text.substring(start, comma < 0 ? text.length() : comma);
  }

  /**
   * Whether the name occurs more than once, in which case two parsers could read different values.
   */
  static boolean isDuplicated(String text, String name) {
    int start = valueStart(text, name, 0);
    return start >= 0 && valueStart(text, name, start) >= 0;
  }

  /**
   * Index at which the value of this name starts, searched from a pair's start or from within a
   * value; -1 if absent.
   */
  private static int valueStart(String text, String name, int from) {
    int at = from;
    while (at < text.length()) {
      int comma = text.indexOf(',', at);
      int end = comma < 0 ? text.length() : comma;
      while (at < end && text.charAt(at) == ' ') {
        at++;
      }
      int equals = at + name.length();
      if (equals < end && text.charAt(equals) == '=' && text.startsWith(name, at)) {
        return equals + 1;
      }
      at = end + 1;
    }
    return -1;
  }

  /** The number of this name; NaN if absent or not a number. */
  static double number(String text, String name) {
    return number(value(text, name));
  }

  /** Parses a number of 0 or more; NaN if the text is null or not a number. */
  static double number(String text) {
    if (text == null || text.length() > MAX_DIGITS) {
      return Double.NaN;
    }
    // Exact: the digits and the power of ten are both below 2^53, and the division rounds once, as
    // a parser does.
    long digits = 0;
    long scale = 0;
    for (int i = 0; i < text.length(); i++) {
      char each = text.charAt(i);
      if (each == '.' && scale == 0) {
        scale = 1;
      } else if (each >= '0' && each <= '9') {
        digits = digits * 10 + each - '0';
        scale *= 10;
      } else {
        return Double.NaN;
      }
    }
    boolean none = text.isEmpty() || text.length() == 1 && scale > 0;
    return none ? Double.NaN : scale > 1 ? (double) digits / scale : digits;
  }

  /** Parses a whole number of 0 or more; -1 if the text is null or not a whole number. */
  static long wholeNumber(String text) {
    double number = number(text);
    return Double.isNaN(number) || text.indexOf('.') >= 0 ? -1 : (long) number;
  }
}
