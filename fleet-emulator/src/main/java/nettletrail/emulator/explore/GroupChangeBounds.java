package nettletrail.emulator.explore;

import java.util.concurrent.TimeUnit;

/**
 * How far an exploration of group changes goes.
 *
 * @param machines how many replicas there are
 * @param withstood how many of them may count as lost at once
 * @param catchUp for how long a machine counts as lost after its return or start, in nanoseconds
 * @param transitions most transitions after the first state
 * @param orders how many operators send an order, all on the same version
 * @param losses how many disks and machines may be lost in all
 * @param crashes how often all replicas lose power at once
 * @param troubled how many machines, counted from the owner on, can be lost, cut off or stalled;
 *     the others differ from them in nothing but their rank
 */
record GroupChangeBounds(
    int machines,
    int withstood,
    long catchUp,
    int transitions,
    int orders,
    int losses,
    int crashes,
    int troubled) {

  /** A process starts in no time here; a machine's time to catch up is shorter by so much. */
  private static final long PROCESS_START = TimeUnit.MILLISECONDS.toNanos(700);

  private static final long SMALL_CATCH_UP = TimeUnit.SECONDS.toNanos(4) - PROCESS_START;
  private static final long LARGE_CATCH_UP = TimeUnit.SECONDS.toNanos(6) - PROCESS_START;

  private static final int SMALL_GROUP = 3;
  private static final int SMALL_TOLERATED_LOSSES = 1;
  private static final int LARGE_GROUP = 5;
  private static final int LARGE_TOLERATED_LOSSES = 2;

  /** Of the replicas beside the owner, more would only repeat the same states under other names. */
  private static final int FAULT_CANDIDATES = 3;

  /** Three machines that withstand one loss. */
  static GroupChangeBounds three(int transitions, int losses, int crashes) {
    return new GroupChangeBounds(
        SMALL_GROUP,
        SMALL_TOLERATED_LOSSES,
        SMALL_CATCH_UP,
        transitions,
        1,
        losses,
        crashes,
        FAULT_CANDIDATES);
  }

  /** Five machines that withstand two losses; the owner and one other are in trouble. */
  static GroupChangeBounds five(int transitions, int losses, int crashes) {
    return new GroupChangeBounds(
        LARGE_GROUP,
        LARGE_TOLERATED_LOSSES,
        LARGE_CATCH_UP,
        transitions,
        1,
        losses,
        crashes,
        FAULT_CANDIDATES);
  }
}
