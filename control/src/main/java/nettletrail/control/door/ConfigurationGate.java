package nettletrail.control.door;

import java.util.Optional;
import nettletrail.protocol.ConfigurationPush;
import nettletrail.protocol.DoorHeartbeatReply;

/**
 * Which of the configurations that core processes pushed is in force at this door. The newest one
 * counts, whoever sent it, for the whole life of the process.
 *
 * <p>The first one of a life is put in force only once a majority of the core has confirmed, a
 * short time ago, that no newer one was committed. A door that has just started knows of nothing
 * newer that it might hold against the push of a core process that is cut off from the others, and
 * may reach that one first. Later ones need no confirmation: they are newer than what is in force,
 * and committed.
 */
final class ConfigurationGate {
  private static final long MILLIS = 1_000_000L;

  /** How old the confirmation of the first configuration may be. */
  private static final long FIRST_CONFIRMED_WITHIN = 1_500 * MILLIS;

  private final KeyLease keys;
  private long heldSequence;
  private long inForceSequence;
  private ConfigurationPush waiting;

  /** {@code keys} is told what is held. */
  ConfigurationGate(KeyLease keys) {
    this.keys = keys;
  }

  /** A core process pushed a configuration; one that is not newer than the held one is left. */
  void pushed(ConfigurationPush push) {
    if (push.getSequence() > heldSequence) {
      heldSequence = push.getSequence();
      keys.holds(heldSequence);
      waiting = push;
    }
  }

  /** A core process told when a majority was last asked. */
  void confirmed(DoorHeartbeatReply reply) {
    keys.confirmed(reply);
  }

  /** The configuration that comes into force now, if there is one. */
  Optional<ConfigurationPush> takeDue(long now) {
    boolean due = inForceSequence > 0 || keys.confirmedWithin(FIRST_CONFIRMED_WITHIN, now);
    if (waiting == null || !due) {
      return Optional.empty();
    }
    ConfigurationPush taken = waiting;
    waiting = null;
    inForceSequence = taken.getSequence();
    return Optional.of(taken);
  }

  /** Whether a first configuration is held that isn't confirmed yet. */
  boolean awaitsConfirmation() {
    return waiting != null;
  }

  /** The newest sequence that was pushed, 0 for none. */
  long heldSequence() {
    return heldSequence;
  }

  /** The sequence in force, 0 for none; never goes back. */
  long inForceSequence() {
    return inForceSequence;
  }
}
