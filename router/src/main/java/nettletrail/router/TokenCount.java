package nettletrail.router;

import nettletrail.router.text.DecimalNumber;

/**
 * Token counts of a request, as its client states them.
 *
 * @param input tokens of the prompt
 * @param output generated tokens at most
 */
record TokenCount(long input, long output) {
  /** Parses {@code INPUT,OUTPUT}; null if the header is null or malformed. */
  static TokenCount parse(String header) {
    if (header == null) {
      return null;
    }
    int comma = header.indexOf(',');
    if (comma < 0) {
      return null;
    }
    long input = DecimalNumber.parse(header.substring(0, comma).trim());
    long output = DecimalNumber.parse(header.substring(comma + 1).trim());
    return input < 0 || output < 0 ? null : new TokenCount(input, output);
  }

  long sum() {
    return input + output;
  }
}
