package nettletrail.control.shard;

import java.util.ArrayList;
import java.util.List;

/**
 * Enumerates all runs of a program that asks for choices, depth first. Alternative 0 is the usual
 * one; each other one costs one deviation, of which a run has a bounded number.
 */
final class ChoiceSequence {

  private final int maxDeviations;
  private final List<Integer> choices = new ArrayList<>();
  private final List<Integer> alternatives = new ArrayList<>();
  private int position;
  private int deviations;

  ChoiceSequence(int maxDeviations) {
    this.maxDeviations = maxDeviations;
  }

  /** Starts the next run. */
  void restart() {
    position = 0;
    deviations = 0;
  }

  /** The next choice of this run, below count. */
  int choose(int count) {
    int allowed = deviations < maxDeviations ? count : 1;
    if (position == choices.size()) {
      choices.add(0);
      alternatives.add(allowed);
    }
    int choice = choices.get(position);
    position++;
    if (choice > 0) {
      deviations++;
    }
    return choice;
  }

  /** Moves on to the next run; false when all were made. */
  boolean advance() {
    while (!choices.isEmpty()) {
      int last = choices.size() - 1;
      if (choices.get(last) + 1 < alternatives.get(last)) {
        choices.set(last, choices.get(last) + 1);
        return true;
      }
      choices.remove(last);
      alternatives.remove(last);
    }
    return false;
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder("deviations");
    for (int index = 0; index < choices.size(); index++) {
      if (choices.get(index) > 0) {
        text.append(" ").append(index).append(":").append(choices.get(index));
      }
    }
    return text.toString();
  }
}
