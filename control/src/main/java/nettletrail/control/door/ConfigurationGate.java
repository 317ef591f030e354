package nettletrail.control.door;

import java.util.Optional;
import nettletrail.protocol.DoorHeartbeatReply;

/**
 * Which of the configurations that core processes sent is in force at this door. The newest one
 * counts, whoever sent it, for the whole life of the process.
 *
 * <p>The first one of a life is put in force only once a majority of the core has confirmed, a
 * short time ago, that no newer one was committed. A door that has just started knows of nothing
 * newer that it might hold against the push of a core process that is cut off from the others, and
 * may reach that one first. Later ones need no confirmation: they are newer than what is in force,
 * and committed.
 *
 * <p>To put one in force costs processor time. The next one waits for a multiple of what the last
 * one took, within a bound, and the newest that has come by then is put in force; so a quick
 * succession of changes leaves most of the time to requests. The keys that may be used are those of
 * the configuration in force, so the key lease follows that one and not what waits.
 */
final class ConfigurationGate {
  private static final long MILLIS = 1_000_000L;

  /** How old the confirmation of the first configuration may be. */
  private static final long FIRST_CONFIRMED_WITHIN = 1_500 * MILLIS;

  /** The part of the time that changes in quick succession may take is one in so many. */
  private static final int SPACING_FACTOR = 4;

  /** How long a configuration waits for the cost of the one before at most. */
  private static final long LONGEST_SPACING = 500 * MILLIS;

  private final KeyLease keys;
  private long heldSequence;
  private long inForceSequence;
  private long dueFrom = Long.MIN_VALUE;
  private long heldEdition;
  private PendingConfiguration waiting;

  /** {@code keys} is told what is held. */
  ConfigurationGate(KeyLease keys) {
    this.keys = keys;
  }

  /** A configuration came whole; one that is not newer than the held one is left. */
  void received(PendingConfiguration configuration) {
    if (configuration.sequence() > heldSequence) {
      heldSequence = configuration.sequence();
      heldEdition = configuration.edition();
      waiting = configuration;
      if (inForceSequence == 0) {
        keys.holds(heldSequence);
      }
    }
  }

  /**
   * A newer sequence has the document of this edition. If that is the one held last, the door holds
   * the newer sequence too; otherwise this is left.
   */
  void renumbered(long sequence, long edition) {
    boolean same = heldSequence != 0 && edition == heldEdition;
    if (!same || sequence <= heldSequence) {
      return;
    }
    heldSequence = sequence;
    if (waiting != null) {
      waiting = new PendingConfiguration(sequence, edition, waiting.document());
    }
    if (inForceSequence == 0) {
      keys.holds(heldSequence);
    } else if (waiting == null) {
      inForceSequence = sequence;
      keys.holds(inForceSequence);
    }
  }

  /** A core process told when a majority was last asked. */
  void confirmed(DoorHeartbeatReply reply) {
    keys.confirmed(reply);
  }

  /** The configuration that comes into force now, if there is one. */
  Optional<PendingConfiguration> takeDue(long now) {
    if (waiting == null || !isDue(now)) {
      return Optional.empty();
    }
    PendingConfiguration taken = waiting;
    waiting = null;
    inForceSequence = taken.sequence();
    keys.holds(inForceSequence);
    return Optional.of(taken);
  }

  private boolean isDue(long now) {
    boolean first = inForceSequence == 0;
    return first ? keys.confirmedWithin(FIRST_CONFIRMED_WITHIN, now) : now >= dueFrom;
  }

  /** What was taken last is in force since now, which took so many nanoseconds. */
  void putInForce(long took, long now) {
    dueFrom = now + Math.min(LONGEST_SPACING, SPACING_FACTOR * took);
  }

  /** Whether a first configuration is held that isn't confirmed yet. */
  boolean awaitsConfirmation() {
    return waiting != null && inForceSequence == 0;
  }

  /** The newest sequence that is held whole, 0 for none. */
  long heldSequence() {
    return heldSequence;
  }

  /** The sequence in force, 0 for none; never goes back. */
  long inForceSequence() {
    return inForceSequence;
  }
}
