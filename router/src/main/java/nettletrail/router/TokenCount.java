package nettletrail.router;

import nettletrail.router.text.DecimalNumber;

/**
 * The size of a generation, as a client states it.
 *
 * @param input tokens of the prompt
 * @param output tokens that are generated, at most
 */
record TokenCount(long input, long output) {
  /** Reads {@code INPUT,OUTPUT}; null if it is absent or can't be read. */
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
