package nettletrail.emulator.explore;

import java.util.List;

/** A deterministic system that an {@link Explorer} goes through, one transition at a time. */
interface ExploredSystem {

  /** Everything that can happen next. */
  List<Transition> enabled();

  /** Makes one thing happen. */
  void apply(Transition transition);

  /**
   * Lets what may still befall the system befall it, then lets all be calm, and looks at what must
   * hold then. Nothing else is done with the system after that.
   */
  default void end() {}

  /** What is broken in this state. */
  List<String> violations();

  /** A hash of the whole state. */
  long fingerprint();
}
