package nettletrail.emulator.explore;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * A bounded model checker: visits every reachable state of an {@link ExploredSystem} once, in
 * breadth-first order. A state is reached by replaying its transitions from the initial state, so
 * deciders need not be copied.
 */
public final class Explorer {
  /**
   * The result of an exploration.
   *
   * @param states how many different states were visited
   * @param transitions how many transitions were carried out
   * @param depth the greatest number of transitions from the initial state
   * @param complete false if a violation or the limit on states ended it
   * @param violation the shortest counterexample, in words; empty if no invariant is violated
   */
  public record Result(
      int states, long transitions, int depth, boolean complete, String violation) {}

  /** The transitions that lead to a state. */
  private record Path(Path before, Transition last, int length) {
    ExploredSystem play(ExploredSystem start) {
      List<Transition> transitions = new ArrayList<>();
      for (Path path = this; path.last != null; path = path.before) {
        transitions.add(0, path.last);
      }
      transitions.forEach(start::apply);
      return start;
    }
  }

  private final Supplier<ExploredSystem> start;
  private final int transitions;
  private final int states;
  private final Set<Long> visited = new HashSet<>();
  private final Deque<Path> frontier = new ArrayDeque<>();
  private long transitionsApplied;
  private int depth;

  /** Explores a {@link ReplicaSystem}. */
  public Explorer(ExplorationBounds bounds) {
    this(bounds, false);
  }

  /** Explores a {@link ReplicaSystem} in which, as a mutant, identities may outlive their disks. */
  Explorer(ExplorationBounds bounds, boolean keepsIdentity) {
    this(() -> new ReplicaSystem(bounds, keepsIdentity), bounds.transitions(), bounds.states());
  }

  /**
   * Explores any system.
   *
   * @param start creates the system in its initial state, each time the same
   * @param transitions maximum number of transitions from the initial state
   * @param states maximum number of states
   */
  Explorer(Supplier<ExploredSystem> start, int transitions, int states) {
    this.start = start;
    this.transitions = transitions;
    this.states = states;
  }

  /** Explores until all states are visited, an invariant is violated or the limit is reached. */
  public Result explore() {
    frontier.add(new Path(null, null, 0));
    while (!frontier.isEmpty() && visited.size() < states) {
      Path path = frontier.poll();
      depth = path.length;
      String violation = extend(path);
      if (!violation.isEmpty()) {
        return new Result(visited.size(), transitionsApplied, depth + 1, false, violation);
      }
    }
    return new Result(visited.size(), transitionsApplied, depth, frontier.isEmpty(), "");
  }

  private String extend(Path path) {
    if (path.length >= transitions) {
      return "";
    }
    List<Transition> enabled = path.play(start.get()).enabled();
    for (Transition transition : enabled) {
      Path longer = new Path(path, transition, path.length + 1);
      ExploredSystem system = longer.play(start.get());
      transitionsApplied++;
      if (!system.violations().isEmpty()) {
        return system.violations() + " after " + describe(longer);
      }
      if (visited.add(system.fingerprint())) {
        frontier.add(longer);
        String violationAtEnd = longer.length < transitions ? "" : end(system, longer);
        if (!violationAtEnd.isEmpty()) {
          return violationAtEnd;
        }
      }
    }
    return "";
  }

  private static String end(ExploredSystem system, Path path) {
    system.end();
    return system.violations().isEmpty()
        ? ""
        : system.violations() + " at the end, after " + describe(path);
  }

  private static String describe(Path path) {
    StringBuilder text = new StringBuilder();
    for (Path step = path; step.last != null; step = step.before) {
      text.insert(0, step.last + "\n");
    }
    return text.toString();
  }
}
