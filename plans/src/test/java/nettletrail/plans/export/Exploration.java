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
import nettletrail.plans.export.World.Step;

/**
 * All orders of steps, breadth first, each state once: a world is played anew for each path, since
 * real classes can't be copied. From each state on, all is also played to its end without further
 * faults, and what is billed there is looked at.
 */
final class Exploration {
  /**
   * What was found.
   *
   * @param ends states from which the end was looked at
   * @param path to what was wrong
   */
  record Result(int states, int ends, int depth, String wrong, List<Step> path, Set<Step> seen) {}

  private final Supplier<World> worlds;
  private final int most;

  /**
   * @param most states looked at, at most
   */
  Exploration(Supplier<World> worlds, int most) {
    this.worlds = worlds;
    this.most = most;
  }

  Result run() throws IOException {
    Set<String> known = new HashSet<>();
    Deque<List<Step>> open = new ArrayDeque<>(List.of(List.of()));
    Set<Step> seen = EnumSet.noneOf(Step.class);
    int ends = 0;
    int depth = 0;
    while (!open.isEmpty() && known.size() < most) {
      List<Step> path = open.pollFirst();
      World world = play(path);
      for (Step step : world.steps()) {
        List<Step> longer = new ArrayList<>(path);
        longer.add(step);
        World next = play(longer);
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

  private World play(List<Step> path) throws IOException {
    World world = worlds.get();
    for (Step step : path) {
      world.step(step);
    }
    return world;
  }
}
