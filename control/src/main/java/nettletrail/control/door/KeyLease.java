package nettletrail.control.door;

import java.util.NavigableMap;
import java.util.OptionalLong;
import java.util.TreeMap;
import nettletrail.protocol.DoorHeartbeatReply;

/**
 * Until when the keys of the configuration that the door holds may be used.
 *
 * <p>A core process says that at some instant a majority knew no newer configuration than a
 * sequence. Whatever is newer was acknowledged after that instant, so a door that holds that
 * sequence or a later one may use its keys for the revocation time from then on. The instant is
 * counted on the door's clock from before it asked. Times are steady nanoseconds.
 */
final class KeyLease {
  private static final long MILLIS = 1_000_000L;

  /**
   * For clocks that run unlike each other, and for a request that has been let in and isn't sent
   * yet.
   */
  private static final long MARGIN_MS = 100;

  /** Confirmations that wait for their configurations at once. */
  private static final int MAX_WAITING = 8;

  private final long lasts;
  private long heldSequence;
  private boolean held;
  private long heldUntil;
  private final NavigableMap<Long, Long> waitingUntilBySequence = new TreeMap<>();

  KeyLease(long revokeMs) {
    this.lasts = (revokeMs - MARGIN_MS) * MILLIS;
  }

  /** A confirmation came; one of a configuration that the door hasn't got yet waits for it. */
  void confirmed(DoorHeartbeatReply reply) {
    if (!reply.getConfirmed()) {
      return;
    }
    long until = reply.getSentAt() - reply.getConfirmedAgeMs() * MILLIS + lasts;
    if (reply.getConfigurationSequence() <= heldSequence) {
      extend(until);
    } else {
      waitFor(reply.getConfigurationSequence(), until);
    }
  }

  /** The door holds this configuration from here on. */
  void holds(long sequence) {
    heldSequence = sequence;
    NavigableMap<Long, Long> reached = waitingUntilBySequence.headMap(sequence, true);
    reached.values().forEach(this::extend);
    reached.clear();
  }

  /** Whether a majority confirmed what the door holds at most so long ago, in nanoseconds. */
  boolean confirmedWithin(long span, long now) {
    return held && now - (heldUntil - lasts) <= span;
  }

  /** The end, or empty when nothing was ever confirmed. */
  OptionalLong until() {
    return held ? OptionalLong.of(heldUntil) : OptionalLong.empty();
  }

  /**
   * Under steady changes a newer confirmation may come before the configuration of the last one
   * does, each time, so both are kept. Of too many the last but one gives way: the first is reached
   * soonest, the last counts longest.
   */
  private void waitFor(long sequence, long until) {
    waitingUntilBySequence.merge(sequence, until, Math::max);
    if (waitingUntilBySequence.size() > MAX_WAITING) {
      waitingUntilBySequence.remove(
          waitingUntilBySequence.lowerKey(waitingUntilBySequence.lastKey()));
    }
  }

  private void extend(long until) {
    heldUntil = held ? Math.max(heldUntil, until) : until;
    held = true;
  }
}
