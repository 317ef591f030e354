package nettletrail.control.door;

import java.util.NavigableMap;
import java.util.OptionalLong;
import java.util.TreeMap;
import nettletrail.protocol.DoorHeartbeatReply;

/**
 * The lease under which the door may use the API keys of its configuration.
 *
 * <p>A core process confirms that at some instant a majority knew no configuration newer than a
 * sequence. Whatever is newer was acknowledged after that instant, so a door that has that sequence
 * or a later one may use its keys for the revocation time from that instant on. The instant is
 * counted on the door's clock from before it sent the heartbeat.
 *
 * <p>Instants are nanoseconds of the steady clock.
 */
final class KeyLease {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** For the drift between clocks, and for a request that was admitted and isn't sent yet. */
  private static final long MARGIN_MS = 100;

  /** How many confirmations of sequences that the door hasn't reached are kept. */
  private static final int MAX_DEFERRED = 8;

  private final long durationNanos;
  private long reachedSequence;
  private boolean granted;
  private long grantedUntil;
  private final NavigableMap<Long, Long> deferredUntilBySequence = new TreeMap<>();

  /** {@code revokeMs}: how long keys may be used after a confirmation, in milliseconds. */
  KeyLease(long revokeMs) {
    this.durationNanos = (revokeMs - MARGIN_MS) * NANOS_PER_MILLI;
  }

  /** Takes in a reply's confirmation; one of a newer sequence counts once that is reached. */
  void confirmed(DoorHeartbeatReply reply) {
    if (!reply.getConfirmed()) {
      return;
    }
    long confirmedAt = reply.getSentAt() - reply.getConfirmedAgeMs() * NANOS_PER_MILLI;
    long until = confirmedAt + durationNanos;
    if (reply.getConfigurationSequence() <= reachedSequence) {
      extend(until);
    } else {
      defer(reply.getConfigurationSequence(), until);
    }
  }

  /** The door uses the keys of this sequence from now on; sequences don't decrease. */
  void sequenceReached(long sequence) {
    reachedSequence = sequence;
    NavigableMap<Long, Long> reached = deferredUntilBySequence.headMap(sequence, true);
    reached.values().forEach(this::extend);
    reached.clear();
  }

  /** Whether a majority confirmed the reached sequence at most this long ago, in nanoseconds. */
  boolean confirmedWithin(long duration, long now) {
    return granted && now - (grantedUntil - durationNanos) <= duration;
  }

  /** The end of the lease, empty when nothing was ever confirmed. */
  OptionalLong until() {
    return granted ? OptionalLong.of(grantedUntil) : OptionalLong.empty();
  }

  /** Whether the lease is valid at this instant. */
  boolean isValid(long now) {
    return granted && now - grantedUntil < 0;
  }

  /**
   * Under steady changes each confirmation may be of a newer sequence than the one before, so
   * several are kept. When there are too many the last but one is dropped: the first is reached
   * soonest, and the last extends the lease furthest.
   */
  private void defer(long sequence, long until) {
    deferredUntilBySequence.merge(sequence, until, Math::max);
    if (deferredUntilBySequence.size() > MAX_DEFERRED) {
      deferredUntilBySequence.remove(
          deferredUntilBySequence.lowerKey(deferredUntilBySequence.lastKey()));
    }
  }

  private void extend(long until) {
    grantedUntil = granted ? Math.max(grantedUntil, until) : until;
    granted = true;
  }
}
