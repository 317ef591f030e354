package nettletrail.emulator.explore;

import java.util.List;

/**
 * How far an exploration goes.
 *
 * @param steps what counts as one transition
 * @param transitions most transitions after the first state
 * @param orders how many operators send an order, all on the same version, each to any replica
 * @param timeSteps how often time passes, where each message is a step
 * @param crashes how many replicas lose power and start again
 * @param wipes how many replicas lose their disk and start again with another identity
 * @param states most states; the exploration stops there and says so
 */
public record ExplorationBounds(
    Steps steps, int transitions, int orders, int timeSteps, int crashes, int wipes, int states) {

  /** What counts as one transition. */
  public enum Steps {
    /** Each message, each write to a disk, each passing of time. */
    MESSAGES,
    /** Whole rounds, in which messages arrive in their order up to some point. */
    ROUNDS
  }

  /** After how many deliveries a round in which nobody is cut off may end. */
  static final List<Integer> PARTIAL_ROUNDS = List.of(3, 6);
}
