package nettletrail.control.door;

/** The tokens of one grant, which expire together. Instants are steady nanoseconds. */
final class ExpiringTokens {
  private final long granted;
  private final long expiresAt;
  private long tokens;

  /**
   * The unused part of a grant.
   *
   * @param granted all tokens of the grant
   * @param unused those of them that weren't used yet, at least 0
   */
  ExpiringTokens(long granted, long unused, long expiresAt) {
    this.granted = granted;
    this.tokens = unused;
    this.expiresAt = expiresAt;
  }

  /** No tokens. */
  static ExpiringTokens none() {
    return new ExpiringTokens(0, 0, 0);
  }

  /** How many tokens can be used now. */
  long usable(long now) {
    return now - expiresAt < 0 ? tokens : 0;
  }

  /** Uses tokens, as far as there are some. */
  void spend(long spent) {
    if (tokens > 0) {
      tokens = Math.max(0, tokens - spent);
    }
  }

  /** Returns tokens that were spent and not used, up to the size of the grant. */
  void refund(long returned) {
    tokens = Math.min(granted, tokens + returned);
  }
}
