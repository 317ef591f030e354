package nettletrail.emulator.explore;

import java.util.List;

/** A deterministic system that an {@link Explorer} goes through, one transition at a time. */
interface ExploredSystem {

  /** All transitions from the present state, in a fixed order. */
  List<Transition> enabled();

  /** Carries out one of the enabled transitions. */
  void apply(Transition transition);

  /**
   * Injects the remaining faults that have to be tolerated, runs without faults and checks
   * liveness. The system is not used afterwards, except for its violations.
   */
  default void end() {}

  /** The invariants that this state violates. */
  List<String> violations();

  /** A hash of the complete state. */
  long fingerprint();
}
