package nettletrail.emulator.simulation;

/**
 * Latency, loss and duplication on a network without injected faults.
 *
 * @param minDelay minimum latency in one direction, in nanoseconds
 * @param meanExtraDelay mean of the exponentially distributed extra latency, in nanoseconds
 * @param lossProbability probability that a segment is lost and retransmitted, which delays it and
 *     all segments after it
 * @param retransmitDelay delay of a lost segment, in nanoseconds
 * @param duplicateProbability probability that a message is delivered twice in a row; TCP never
 *     does that, but a sender that retries after a reset does
 */
public record NetworkSettings(
    long minDelay,
    long meanExtraDelay,
    double lossProbability,
    long retransmitDelay,
    double duplicateProbability) {

  private static final long RETRANSMIT_DELAY = 200 * VirtualTime.MILLISECOND;
  private static final long RELIABLE_DELAY = VirtualTime.MILLISECOND / 2;
  private static final double RELIABLE_LOSS = 0.001;
  private static final long LOSSY_DELAY = 2 * VirtualTime.MILLISECOND;
  private static final long LOSSY_EXTRA_DELAY = 8 * VirtualTime.MILLISECOND;
  private static final double LOSSY_LOSS = 0.02;
  private static final double LOSSY_DUPLICATES = 0.01;

  /** A data centre: half a millisecond, no duplicates, one segment in 1,000 late by 200 ms. */
  public static NetworkSettings reliable() {
    return new NetworkSettings(RELIABLE_DELAY, RELIABLE_DELAY, RELIABLE_LOSS, RETRANSMIT_DELAY, 0);
  }

  /** Distant zones over bad lines: 2 to 30 ms, one segment in 50 late, one message in 100 twice. */
  public static NetworkSettings lossy() {
    return new NetworkSettings(
        LOSSY_DELAY, LOSSY_EXTRA_DELAY, LOSSY_LOSS, RETRANSMIT_DELAY, LOSSY_DUPLICATES);
  }
}
