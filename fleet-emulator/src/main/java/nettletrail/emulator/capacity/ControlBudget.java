package nettletrail.emulator.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * What the plan lets control spend.
 *
 * @param figure as in a run's figures
 * @param max inclusive
 * @param stated whether the plan states it; else it is the deployments' core machine
 */
record ControlBudget(String figure, double max, boolean stated) {
  /** All of them. */
  static final List<ControlBudget> ALL =
      List.of(
          new ControlBudget("control_cpu_pct", 3.6, true),
          new ControlBudget("control_mb", 64, true),
          new ControlBudget("control_bytes_per_s", 4_000, true),
          new ControlBudget("in_force_max_s", 9, true),
          new ControlBudget("core_cpu_pct", 100, false),
          new ControlBudget("core_mb", 426, false),
          new ControlBudget("machine_mb_max", 12_000, true));

  /**
   * The budgets that figures break, each with the figure; one that is missing breaks its budget.
   */
  static List<String> broken(Map<String, Object> figures) {
    List<String> broken = new ArrayList<>();
    for (ControlBudget budget : ALL) {
      if (!(figures.get(budget.figure()) instanceof Number value)) {
        broken.add(budget.figure() + " was not measured");
      } else if (!(value.doubleValue() <= budget.max())) {
        broken.add(budget.figure() + " is " + value + ", over " + budget.max());
      }
    }
    return broken;
  }
}
