package nettletrail.router.balance;

import nettletrail.router.text.DecimalNumber;

/**
 * The parts of a prompt that it shares with other requests, as one key: every part but the last,
 * which is the request's own.
 *
 * @param key of all shared parts in their order; 0 if there are none
 * @param tokens of the shared parts together
 */
public record PromptPrefix(long key, long tokens) {
  /** Of a request that names no parts. */
  public static final PromptPrefix NONE = new PromptPrefix(0, 0);

  private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;
  private static final int MIX_SHIFT = 29;
  private static final long MAX_TOKENS = 1_000_000_000;

  /**
   * Reads {@code ID:TOKENS,ID:TOKENS,...}. What can't be read counts as no shared part: it guides
   * the choice of a backend only.
   *
   * @param header may be null
   * @param model may be null; parts of different models have nothing in common
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
    int at = 0;
    while (at < lastComma) {
      int comma = header.indexOf(',', at);
      int colon = header.indexOf(':', at);
      if (colon < 0 || colon > comma) {
        return NONE;
      }
      long part = DecimalNumber.parse(header, colon + 1, comma);
      if (part < 0 || part > MAX_TOKENS) {
        return NONE;
      }
      for (int i = at; i < colon; i++) {
        key = mix(key, header.charAt(i));
      }
      tokens += part;
      at = comma + 1;
    }
    return new PromptPrefix(key == 0 ? 1 : key, tokens);
  }

  private static long mix(long key, int next) {
    return (key ^ next) * MULTIPLIER + (key >>> MIX_SHIFT);
  }
}
