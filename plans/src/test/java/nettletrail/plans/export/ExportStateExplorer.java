package nettletrail.plans.export;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * All orders of steps, breadth first, each state once: a world is played anew for each path, since
 * real classes can't be copied. From each state on, all is also played to its end without further
 * faults, and what is billed there is looked at.
 */
final class ExportStateExplorer {
  /**
   * What was found.
   *
   * @param ends states from which the end was looked at
   * @param path to what was wrong
   */
  record Result(
      int states, int ends, int depth, String wrong, List<ExportStep> path, Set<ExportStep> seen) {}

  private final Supplier<ExportSimulation> worlds;
  private final int most;

  /**
   * @param most states looked at, at most
   */
  ExportStateExplorer(Supplier<ExportSimulation> worlds, int most) {
    this.worlds = worlds;
    this.most = most;
  }

  Result run() throws IOException {
    Set<String> known = new HashSet<>();
    Deque<List<ExportStep>> open = new ArrayDeque<>(List.of(List.of()));
    Set<ExportStep> seen = EnumSet.noneOf(ExportStep.class);
    int ends = 0;
    int depth = 0;
    while (!open.isEmpty() && known.size() < most) {
      List<ExportStep> path = open.pollFirst();
      ExportSimulation world = play(path);
      for (ExportStep step : world.steps()) {
        List<ExportStep> longer = new ArrayList<>(path);
        longer.add(step);
        ExportSimulation next = play(longer);
        if (!known.add(next.state())) {
          continue;
        }
        seen.add(step);
        depth = Math.max(depth, longer.size());
        String wrong = next.wrong();
        if (wrong == null) {
          next.settle();
          ends++;
          wrong = next.wrongAtTheEnd();
        }
        if (wrong != null) {
          return new Result(known.size(), ends, depth, wrong, longer, seen);
        }
        open.addLast(longer);
      }
    }
    return new Result(known.size(), ends, depth, null, List.of(), seen);
  }

  private ExportSimulation play(List<ExportStep> path) throws IOException {
    ExportSimulation world = worlds.get();
    for (ExportStep step : path) {
      world.step(step);
    }
    return world;
  }
}
