package nettletrail.emulator.simulation;

/**
 * How the network behaves while nothing is in trouble.
 *
 * @param minDelay the shortest time one way, in nanoseconds
 * @param meanExtraDelay mean of the exponentially distributed time on top, in nanoseconds
 * @param lossProbability how often a segment is lost, and so arrives later, with all that come
 *     behind it
 * @param retransmitDelay by how much a lost segment is late, in nanoseconds
 * @param duplicateProbability how often a message is delivered twice in a row; a real TCP
 *     connection never does that, a sender that repeats after a reset does
 */
public record NetworkSettings(
    long minDelay,
    long meanExtraDelay,
    double lossProbability,
    long retransmitDelay,
    double duplicateProbability) {

  private static final long RETRANSMIT_DELAY = 200 * VirtualTime.MILLISECOND;
  private static final long CALM_DELAY = VirtualTime.MILLISECOND / 2;
  private static final double CALM_LOSS = 0.001;
  private static final long ROUGH_DELAY = 2 * VirtualTime.MILLISECOND;
  private static final long ROUGH_EXTRA_DELAY = 8 * VirtualTime.MILLISECOND;
  private static final double ROUGH_LOSS = 0.02;
  private static final double ROUGH_DUPLICATES = 0.01;

  /** A data centre: half a millisecond, no duplicates, one segment in 1,000 late by 200 ms. */
  public static NetworkSettings calm() {
    return new NetworkSettings(CALM_DELAY, CALM_DELAY, CALM_LOSS, RETRANSMIT_DELAY, 0);
  }

  /** Distant zones over bad lines: 2 to 30 ms, one segment in 50 late, one message in 100 twice. */
  public static NetworkSettings rough() {
    return new NetworkSettings(
        ROUGH_DELAY, ROUGH_EXTRA_DELAY, ROUGH_LOSS, RETRANSMIT_DELAY, ROUGH_DUPLICATES);
  }
}
