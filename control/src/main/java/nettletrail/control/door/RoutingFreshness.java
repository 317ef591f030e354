package nettletrail.control.door;

import java.util.concurrent.TimeUnit;

/**
 * Whether requests may be routed by the active configuration.
 *
 * <p>Not so when a newer one is known to be committed and may have been acknowledged for as long as
 * the time within which it has to be active. What is newer was acknowledged after the last instant
 * at which a majority confirmed the active one; so this holds whenever the newer one arrives, and
 * however late.
 */
final class RoutingFreshness {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** For the drift between clocks, and for a request that was admitted and isn't sent yet. */
  private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private final ConfigurationFollower follower;
  private final ConfigurationActivation activation;
  private final KeyLease keys;
  private final long maxConfirmationAgeNanos;

  /**
   * Reads the state of the others.
   *
   * @param activeWithinMs within which an acknowledged configuration has to be active
   */
  RoutingFreshness(
      ConfigurationFollower follower,
      ConfigurationActivation activation,
      KeyLease keys,
      long activeWithinMs) {
    this.follower = follower;
    this.activation = activation;
    this.keys = keys;
    this.maxConfirmationAgeNanos = activeWithinMs * NANOS_PER_MILLI - MARGIN_NANOS;
  }

  /** Whether the active configuration may route at this instant of the steady clock. */
  boolean isCurrent(long now) {
    boolean isNewest = follower.newestCommitted() <= activation.activeSequence();
    return isNewest || keys.confirmedWithin(maxConfirmationAgeNanos, now);
  }
}
