package nettletrail.router.balance;

import nettletrail.router.text.DecimalNumber;

/**
 * The shared prefix of a prompt: every segment but the last, which belongs to this request alone.
 *
 * @param key hash of all shared segments in their order; 0 if there are none
 * @param tokens sum over the shared segments
 */
public record PromptPrefix(long key, long tokens) {
  /** The prefix of a request that states no segments. */
  public static final PromptPrefix NONE = new PromptPrefix(0, 0);

  private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;
  private static final int MIX_SHIFT = 29;
  private static final long MAX_TOKENS = 1_000_000_000;

  /**
   * Parses {@code ID:TOKENS,ID:TOKENS,...}. A malformed value counts as no prefix, since it only
   * guides the choice of a backend.
   *
   * @param header may be null
   * @param model may be null; prefixes of different models have different keys
   */
  public static PromptPrefix parse(String header, String model) {
    if (header == null) {
      return NONE;
    }
    int lastComma = header.lastIndexOf(',');
    if (lastComma <= 0) {
      return NONE;
    }
    long key = model == null ? MULTIPLIER : mix(MULTIPLIER, model.hashCode());
    long tokens = 0;
    int start = 0;
    while (start < lastComma) {
      int comma = header.indexOf(',', start);
      int colon = header.indexOf(':', start);
      if (colon < 0 || colon > comma) {
        return NONE;
      }
      long segmentTokens = DecimalNumber.parse(header, colon + 1, comma);
      if (segmentTokens < 0 || segmentTokens > MAX_TOKENS) {
        return NONE;
      }
      for (int i = start; i < colon; i++) {
        key = mix(key, header.charAt(i));
      }
      tokens += segmentTokens;
      start = comma + 1;
    }
    return new PromptPrefix(key == 0 ? 1 : key, tokens);
  }

  private static long mix(long key, int next) {
    return (key ^ next) * MULTIPLIER + (key >>> MIX_SHIFT);
  }
}
