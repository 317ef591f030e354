package nettletrail.router.text;

import io.netty.buffer.ByteBuf;

/**
 * Parses non-negative decimal integers of ASCII digits. Unlike {@link Long#parseLong} it accepts no
 * sign and no digits of other scripts, and doesn't throw.
 */
public final class DecimalNumber {
  /** The result for text that is not a number. */
  public static final long NONE = -1;

  private static final int MAX_DIGITS = 18;
  private static final int BASE = 10;

  private DecimalNumber() {}

  /** Parses the complete text; {@link #NONE} if it is null or not a number. */
  public static long parse(CharSequence text) {
    return text == null ? NONE : parse(text, 0, text.length());
  }

  /** Parses the text from {@code from} to below {@code to}; {@link #NONE} if not a number. */
  public static long parse(CharSequence text, int from, int to) {
    if (from >= to || to - from > MAX_DIGITS) {
      return NONE;
    }
    long value = 0;
    for (int i = from; i < to; i++) {
      int digit = text.charAt(i) - '0';
      if (!isDigit(digit)) {
        return NONE;
      }
      value = value * BASE + digit;
    }
    return value;
  }

  /** Parses the bytes from {@code from} to below {@code to}; {@link #NONE} if not a number. */
  public static long parse(ByteBuf bytes, int from, int to) {
    if (from >= to || to - from > MAX_DIGITS) {
      return NONE;
    }
    long value = 0;
    for (int i = from; i < to; i++) {
      int digit = bytes.getByte(i) - '0';
      if (!isDigit(digit)) {
        return NONE;
      }
      value = value * BASE + digit;
    }
    return value;
  }

  /** Parses the digits that start at {@code from}; {@link #NONE} if there are none. */
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
