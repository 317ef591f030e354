package nettletrail.emulator.explore;

import java.util.List;

/**
 * Limits of an exploration.
 *
 * @param steps what counts as one transition
 * @param transitions maximum number of transitions from the initial state
 * @param changes how many changes operators submit, all based on one edition, each to any replica
 * @param timeSteps how often time passes, if each message is a step
 * @param crashes how many replicas lose power and restart
 * @param wipes how many replicas lose their disk and restart with another identity
 * @param states maximum number of states; the result tells if it was reached
 */
public record ExplorationBounds(
    Steps steps, int transitions, int changes, int timeSteps, int crashes, int wipes, int states) {

  /** What counts as one transition. */
  public enum Steps {
    /** Each message, each write to a disk, each passing of time. */
    MESSAGES,
    /** Complete rounds, in which messages arrive in their order up to some point. */
    ROUNDS
  }

  /** After how many deliveries a round without a partition may end. */
  static final List<Integer> PARTIAL_ROUNDS = List.of(3, 6);
}
