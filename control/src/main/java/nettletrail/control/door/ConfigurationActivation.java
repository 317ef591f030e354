package nettletrail.control.door;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides when a received configuration becomes the active one. The newest sequence wins, whichever
 * core process sent it, for the whole run of the process.
 *
 * <p>The first configuration of a run becomes active only once a majority of the core processes has
 * confirmed, a short time ago, that no newer one was committed. A door that has just started has
 * nothing to compare with, and may reach a partitioned core process first. Later ones need no
 * confirmation: they are newer than the active one, and committed.
 *
 * <p>An activation costs processor time. The next one is delayed by a multiple of that cost, up to
 * a limit, and then the newest configuration received by then is activated, so that changes in
 * quick succession leave most of the time to requests. The keys that may be used are those of the
 * active configuration, so the key lease follows that one and not the pending one.
 *
 * <p>Instants are nanoseconds of the steady clock.
 */
final class ConfigurationActivation {
  /** How old the confirmation of the first configuration may be. */
  private static final long MAX_FIRST_CONFIRMATION_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** The delay of the next activation as a multiple of the cost of the last one. */
  private static final int DELAY_FACTOR = 4;

  private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final KeyLease keys;
  private long newestSequence;
  private long newestEdition;
  private long activeSequence;
  private long nextActivationAt = Long.MIN_VALUE;
  private PendingConfiguration pending;

  /** {@code keys} follows the sequence of the active configuration. */
  ConfigurationActivation(KeyLease keys) {
    this.keys = keys;
  }

  /** A complete configuration was received; ignored unless it is newer than all before. */
  void received(PendingConfiguration configuration) {
    if (configuration.sequence() <= newestSequence) {
      return;
    }
    newestSequence = configuration.sequence();
    newestEdition = configuration.edition();
    pending = configuration;
    if (activeSequence == 0) {
      keys.sequenceReached(newestSequence);
    }
  }

  /**
   * A newer sequence was committed whose document is the one of an edition. If that is the newest
   * edition received, the door now has the newer sequence too; otherwise this is ignored.
   */
  void renumbered(long sequence, long edition) {
    boolean sameDocument = newestSequence != 0 && edition == newestEdition;
    if (!sameDocument || sequence <= newestSequence) {
      return;
    }
    newestSequence = sequence;
    if (pending != null) {
      pending = new PendingConfiguration(sequence, edition, pending.document());
    }
    if (activeSequence == 0) {
      keys.sequenceReached(newestSequence);
    } else if (pending == null) {
      activeSequence = sequence;
      keys.sequenceReached(activeSequence);
    }
  }

  /** Activates the pending configuration if it is due, and returns it. */
  Optional<PendingConfiguration> activateDue(long now) {
    if (pending == null || !isDue(now)) {
      return Optional.empty();
    }
    PendingConfiguration activated = pending;
    pending = null;
    activeSequence = activated.sequence();
    keys.sequenceReached(activeSequence);
    return Optional.of(activated);
  }

  private boolean isDue(long now) {
    return activeSequence == 0
        ? keys.confirmedWithin(MAX_FIRST_CONFIRMATION_AGE_NANOS, now)
        : now >= nextActivationAt;
  }

  /** The caller has finished the last activation, which took this long, in nanoseconds. */
  void activated(long costNanos, long now) {
    nextActivationAt = now + Math.min(MAX_DELAY_NANOS, DELAY_FACTOR * costNanos);
  }

  /** Whether the first configuration was received and isn't confirmed yet. */
  boolean awaitsConfirmation() {
    return pending != null && activeSequence == 0;
  }

  /** The newest sequence that was received completely, pending or active; 0 for none. */
  long newestSequence() {
    return newestSequence;
  }

  /** The sequence of the active configuration, 0 for none; never decreases. */
  long activeSequence() {
    return activeSequence;
  }
}
