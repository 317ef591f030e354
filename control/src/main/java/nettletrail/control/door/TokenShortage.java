package nettletrail.control.door;

import java.util.concurrent.TimeUnit;

/**
 * The largest request that found too few tokens, and by how much more than that the door asks for.
 * Instants are nanoseconds of the steady clock.
 */
final class TokenShortage {
  /** A shortage that is neither met nor repeated is forgotten after this. */
  private static final long EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** The surplus factor grows up to this while the shortage lasts from report to report. */
  private static final int MAX_SURPLUS_FACTOR = 64;

  private static final int SURPLUS_GROWTH = 3;

  private long tokens;
  private long repeatedAt;
  private int surplusFactor;

  /** A request of this size found too few tokens. */
  void missed(long requestTokens, long now) {
    tokens = Math.max(tokens, requestTokens);
    repeatedAt = now;
  }

  /** A request of this size got its tokens. */
  void met(long requestTokens) {
    if (requestTokens >= tokens) {
      tokens = 0;
    }
  }

  /** A request of this size no longer waits: it was rejected, or its client has gone. */
  void withdrawn(long requestTokens) {
    met(requestTokens);
  }

  /** The size of the largest request that waits for tokens, 0 for none. */
  long tokens(long now) {
    return now - repeatedAt < EXPIRY_NANOS ? tokens : 0;
  }

  /** The shortage is about to be reported to the owner; adapts the surplus factor. */
  void reporting(long now) {
    if (tokens(now) > 0) {
      surplusFactor = Math.min(MAX_SURPLUS_FACTOR, SURPLUS_GROWTH * surplusFactor + 1);
    } else {
      surplusFactor /= SURPLUS_GROWTH;
    }
  }

  /** The multiple of the shortage to ask for besides it, 0 to {@link #MAX_SURPLUS_FACTOR}. */
  int surplusFactor() {
    return surplusFactor;
  }
}
