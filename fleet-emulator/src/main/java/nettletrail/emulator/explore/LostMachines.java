package nettletrail.emulator.explore;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which machines of a group count as lost. A machine counts as lost while a fault lasts and from
 * its end, or from the start of its successor, for the time to catch up.
 */
final class LostMachines {
  private final long catchUpNanos;

  /** By position in the group; a position without an entry was never lost. */
  private final Map<Integer, Long> lostUntil = new HashMap<>();

  LostMachines(long catchUpNanos) {
    this.catchUpNanos = catchUpNanos;
  }

  /** A fault begins and has no end yet. */
  void beginFault(int position) {
    lostUntil.put(position, Long.MAX_VALUE);
  }

  /** A fault ends now, or a loss happens now. */
  void catchUpFrom(int position, long now) {
    lostUntil.put(position, now + catchUpNanos);
  }

  boolean isLost(int position, long now) {
    return now < lostUntil.getOrDefault(position, Long.MIN_VALUE);
  }

  /** The positions, in a group of some size, that count as lost. */
  List<Integer> positions(int groupSize, long now) {
    List<Integer> lost = new ArrayList<>();
    for (int position = 0; position < groupSize; position++) {
      if (isLost(position, now)) {
        lost.add(position);
      }
    }
    return lost;
  }

  /** For how long each position still counts as lost, in nanoseconds; 0 if it does not. */
  List<Long> remaining(int groupSize, long now) {
    List<Long> remaining = new ArrayList<>();
    for (int position = 0; position < groupSize; position++) {
      long until = lostUntil.getOrDefault(position, Long.MIN_VALUE);
      remaining.add(isLost(position, now) ? until - now : 0);
    }
    return remaining;
  }
}
