package nettletrail.control.shard;

import java.util.OptionalLong;

/**
 * The If-Match header of an operator's change, which names the edition that the change builds on.
 */
final class IfMatchHeader {

  private static final String WEAK_PREFIX = "W/";

  private IfMatchHeader() {}

  /**
   * The edition that a header names, as {@code 5}, {@code "5"} or {@code W/"5"}.
   *
   * @param header may be null
   * @return empty if the header names no edition of at least 0
   */
  static OptionalLong edition(String header) {
    String text = header == null ? "" : header.trim();
    if (text.startsWith(WEAK_PREFIX)) {
      text = text.substring(WEAK_PREFIX.length());
    }
    boolean quoted = text.length() >= 2 && text.startsWith("\"") && text.endsWith("\"");
    if (quoted) {
      text = text.substring(1, text.length() - 1);
    }
    try {
      long edition = Long.parseLong(text);
      return edition < 0 ? OptionalLong.empty() : OptionalLong.of(edition);
    } catch (NumberFormatException notANumber) {
      return OptionalLong.empty();
    }
  }
}
