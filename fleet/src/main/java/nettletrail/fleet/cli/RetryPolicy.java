package nettletrail.fleet.cli;

import java.time.Duration;

/**
 * The time-outs and retries of a {@link CoreClient}.
 *
 * @param connectTimeout for a connection
 * @param responseTimeout for a response
 * @param initialBackoff before the second round; doubled for each further one
 * @param maxRounds attempts for each address
 */
public record RetryPolicy(
    Duration connectTimeout, Duration responseTimeout, Duration initialBackoff, int maxRounds) {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(200);
  private static final int MAX_ROUNDS = 3;

  /** For a request that has to succeed. */
  public static RetryPolicy standard() {
    return new RetryPolicy(CONNECT_TIMEOUT, RESPONSE_TIMEOUT, INITIAL_BACKOFF, MAX_ROUNDS);
  }

  /** For a request that may fail: one attempt for each address. */
  static RetryPolicy withoutRetries() {
    return new RetryPolicy(CONNECT_TIMEOUT, RESPONSE_TIMEOUT, Duration.ZERO, 1);
  }

  /**
   * The backoff before a round, in milliseconds.
   *
   * @param round from 0
   */
  long backoffMs(int round) {
    return round == 0 ? 0 : initialBackoff.toMillis() << (round - 1);
  }
}
