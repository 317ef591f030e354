package nettletrail.emulator.explore;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Visits every state of an {@link ExploredSystem} within bounds, nearest first, and each state
 * once. States are reached by playing their transitions from the start, so the decider needs no
 * copying.
 */
public final class Explorer {
  /**
   * What an exploration found.
   *
   * @param states how many different states were visited
   * @param transitions how many transitions were tried
   * @param depth how many transitions the farthest state is away
   * @param complete false if the bound on states ended it
   * @param violation the shortest way to a broken promise, in words; empty if there is none
   */
  public record Result(
      int states, long transitions, int depth, boolean complete, String violation) {}

  /** The way to a state. */
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
  private long tried;
  private int depth;

  /** Explores within bounds. */
  public Explorer(ExplorationBounds bounds) {
    this(bounds, false);
  }

  /** With a planted defect if identities outlive their disks. */
  Explorer(ExplorationBounds bounds, boolean keepsIdentity) {
    this(() -> new ReplicaSystem(bounds, keepsIdentity), bounds.transitions(), bounds.states());
  }

  /**
   * Explores any system.
   *
   * @param start gives the system in its first state, each time the same
   * @param transitions most transitions after the first state
   * @param states most states
   */
  Explorer(Supplier<ExploredSystem> start, int transitions, int states) {
    this.start = start;
    this.transitions = transitions;
    this.states = states;
  }

  /** Explores until all is visited, a promise is broken or the bound on states is reached. */
  public Result explore() {
    frontier.add(new Path(null, null, 0));
    while (!frontier.isEmpty() && visited.size() < states) {
      Path path = frontier.poll();
      depth = path.length;
      String violation = extend(path);
      if (!violation.isEmpty()) {
        return new Result(visited.size(), tried, depth + 1, false, violation);
      }
    }
    return new Result(visited.size(), tried, depth, frontier.isEmpty(), "");
  }

  private String extend(Path path) {
    if (path.length >= transitions) {
      return "";
    }
    List<Transition> enabled = path.play(start.get()).enabled();
    for (Transition transition : enabled) {
      Path longer = new Path(path, transition, path.length + 1);
      ExploredSystem system = longer.play(start.get());
      tried++;
      if (!system.violations().isEmpty()) {
        return system.violations() + " after " + describe(longer);
      }
      if (visited.add(system.fingerprint())) {
        frontier.add(longer);
        String atEnd = longer.length < transitions ? "" : end(system, longer);
        if (!atEnd.isEmpty()) {
          return atEnd;
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
