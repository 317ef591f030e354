package nettletrail.emulator.explore;

import java.util.concurrent.TimeUnit;

/**
 * Limits of an exploration of group changes.
 *
 * @param machines how many replicas there are
 * @param toleratedLosses how many of them may count as lost at once; with one more no guarantee
 *     holds
 * @param catchUp for how long a machine counts as lost after its return or start, in nanoseconds
 * @param transitions maximum number of transitions from the initial state
 * @param changes how many changes operators submit, all based on one edition
 * @param losses how many disks and machines may be lost in total
 * @param crashes how often all replicas lose power at once
 * @param faultCandidates how many machines, counted from the owner on, can be lost, partitioned or
 *     stalled; the others differ from them in their rank only
 * @param additions how many machines are added, each of which another one leaves for later
 */
record GroupChangeBounds(
    int machines,
    int toleratedLosses,
    long catchUp,
    int transitions,
    int changes,
    int losses,
    int crashes,
    int faultCandidates,
    int additions) {

  /** The start of a process takes no time here, which the time to catch up includes. */
  private static final long PROCESS_START = TimeUnit.MILLISECONDS.toNanos(700);

  private static final long SMALL_CATCH_UP = TimeUnit.SECONDS.toNanos(4) - PROCESS_START;
  private static final long LARGE_CATCH_UP = TimeUnit.SECONDS.toNanos(6) - PROCESS_START;

  private static final int SMALL_GROUP = 3;
  private static final int SMALL_TOLERATED_LOSSES = 1;
  private static final int LARGE_GROUP = 5;
  private static final int LARGE_TOLERATED_LOSSES = 2;

  /** More candidates would only repeat states with the names of replicas exchanged. */
  private static final int FAULT_CANDIDATES = 3;

  /** Three machines that tolerate one loss. */
  static GroupChangeBounds three(int transitions, int losses, int crashes) {
    return new GroupChangeBounds(
        SMALL_GROUP,
        SMALL_TOLERATED_LOSSES,
        SMALL_CATCH_UP,
        transitions,
        1,
        losses,
        crashes,
        FAULT_CANDIDATES,
        0);
  }

  /** Three machines that tolerate one loss and are replaced as planned, the successors first. */
  static GroupChangeBounds threeReplaced(int transitions, int additions) {
    return new GroupChangeBounds(
        SMALL_GROUP, SMALL_TOLERATED_LOSSES, SMALL_CATCH_UP, transitions, 1, 0, 0, 0, additions);
  }

  /** Five machines that tolerate two losses and are replaced as planned, the successors first. */
  static GroupChangeBounds fiveReplaced(int transitions, int additions) {
    return new GroupChangeBounds(
        LARGE_GROUP, LARGE_TOLERATED_LOSSES, LARGE_CATCH_UP, transitions, 1, 0, 0, 0, additions);
  }

  /** Five machines that tolerate two losses. */
  static GroupChangeBounds five(int transitions, int losses, int crashes) {
    return new GroupChangeBounds(
        LARGE_GROUP,
        LARGE_TOLERATED_LOSSES,
        LARGE_CATCH_UP,
        transitions,
        1,
        losses,
        crashes,
        FAULT_CANDIDATES,
        0);
  }
}
