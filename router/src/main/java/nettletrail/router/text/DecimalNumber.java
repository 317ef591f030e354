package nettletrail.router.text;

import io.netty.buffer.ByteBuf;

/**
 * Reads whole numbers, 0 or more, of digits alone: the standard library's parsers also take signs
 * and digits of other scripts, and throw.
 */
public final class DecimalNumber {
  /** What is no number reads as this. */
  public static final long NONE = -1;

  private static final int MAX_DIGITS = 18;
  private static final int BASE = 10;

  private DecimalNumber() {}

  /** The number that the text is; {@link #NONE} if it is null or none. */
  public static long parse(CharSequence text) {
    return text == null ? NONE : parse(text, 0, text.length());
  }

  /** The number that this part of the text is, or {@link #NONE}. */
  public static long parse(CharSequence text, int from, int to) {
    if (from >= to || to - from > MAX_DIGITS) {
      return NONE;
    }
    long value = 0;
    for (int at = from; at < to; at++) {
      int digit = text.charAt(at) - '0';
      if (!isDigit(digit)) {
        return NONE;
      }
      value = value * BASE + digit;
    }
    return value;
  }

  /** The number that these bytes are, or {@link #NONE}. */
  public static long parse(ByteBuf bytes, int from, int to) {
    if (from >= to || to - from > MAX_DIGITS) {
      return NONE;
    }
    long value = 0;
    for (int at = from; at < to; at++) {
      int digit = bytes.getByte(at) - '0';
      if (!isDigit(digit)) {
        return NONE;
      }
      value = value * BASE + digit;
    }
    return value;
  }

  /**
   * The number that the text begins with from there on, or {@link #NONE} if it begins with no
   * digit.
   */
  public static long parseLeading(CharSequence text, int from) {
    int to = from;
    while (to < text.length() && isDigit(text.charAt(to) - '0')) {
      to++;
    }
    return parse(text, from, to);
  }

  private static boolean isDigit(int digit) {
    return digit >= 0 && digit < BASE;
  }
}
