package nettletrail.emulator.checker;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides if a history is linearizable: searches for an order of its operations that respects real
 * time and in which a sequential model gives each answer (Wing and Gong, 1993). Pairs of linearized
 * operations and state that have failed are cached (Lowe, 2017). An operation without an answer may
 * be linearized at any time after its call, or not at all.
 *
 * @param <S> state of the model
 * @param <O> operation of the model
 */
public final class LinearizabilityChecker<S, O> {
  private final SequentialModel<S, O> model;
  private final List<TimedOperation<O>> operations;
  private final Set<Configuration<S>> seen = new HashSet<>();
  private int maxLinearized = -1;
  private String counterexample = "";

  /** Checks one history; the operations may come in any order. */
  public LinearizabilityChecker(SequentialModel<S, O> model, List<TimedOperation<O>> operations) {
    this.model = model;
    this.operations = new ArrayList<>(operations);
    this.operations.sort(Comparator.comparingLong(TimedOperation::invoked));
  }

  /** True if the history is linearizable. */
  public boolean isLinearizable() {
    return search(model.initial(), new BitSet(operations.size()));
  }

  /**
   * After a failed search: the answered operations of which none can follow the longest order
   * found.
   */
  public String counterexample() {
    return counterexample;
  }

  private boolean search(S state, BitSet linearized) {
    long firstReturn = firstReturnOutside(linearized);
    if (firstReturn == TimedOperation.NEVER) {
      return true;
    }
    if (!seen.add(new Configuration<>(state, (BitSet) linearized.clone()))) {
      return false;
    }
    recordCounterexample(state, linearized);
    for (int index = linearized.nextClearBit(0);
        index < operations.size();
        index = linearized.nextClearBit(index + 1)) {
      if (operations.get(index).invoked() > firstReturn) {
        break;
      }
      if (linearize(index, state, linearized)) {
        return true;
      }
    }
    return false;
  }

  private boolean linearize(int index, S state, BitSet linearized) {
    S next = model.apply(state, operations.get(index).operation());
    if (next == null) {
      return false;
    }
    linearized.set(index);
    boolean found = search(next, linearized);
    linearized.clear(index);
    return found;
  }

  /** The earliest return of an answered operation not yet linearized; NEVER if there is none. */
  private long firstReturnOutside(BitSet linearized) {
    long first = TimedOperation.NEVER;
    for (int index = linearized.nextClearBit(0);
        index < operations.size();
        index = linearized.nextClearBit(index + 1)) {
      first = Math.min(first, operations.get(index).returned());
    }
    return first;
  }

  private void recordCounterexample(S state, BitSet linearized) {
    if (linearized.cardinality() <= maxLinearized) {
      return;
    }
    maxLinearized = linearized.cardinality();
    long firstReturn = firstReturnOutside(linearized);
    StringBuilder text = new StringBuilder("after ").append(state).append(" none fits of:");
    for (int index = linearized.nextClearBit(0);
        index < operations.size() && operations.get(index).invoked() <= firstReturn;
        index = linearized.nextClearBit(index + 1)) {
      if (operations.get(index).isAnswered()) {
        text.append("\n  ").append(operations.get(index));
      }
    }
    counterexample = text.toString();
  }

  private record Configuration<S>(S state, BitSet linearized) {}
}
