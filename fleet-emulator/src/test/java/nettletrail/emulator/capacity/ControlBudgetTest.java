package nettletrail.emulator.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which budgets figures break, and what a prediction tells. */
class ControlBudgetTest {
  @Test
  void givenFiguresWithinWhenCheckedThenNoneIsBroken() {
    assertEquals(List.of(), ControlBudget.broken(within()));
  }

  @Test
  void givenOneOverAndOneMissingWhenCheckedThenBothAreNamed() {
    Map<String, Object> figures = within();
    figures.put("control_bytes_per_s", 4_001);
    figures.remove("in_force_max_s");

    assertEquals(
        List.of("control_bytes_per_s is 4001, over 4000.0", "in_force_max_s was not measured"),
        ControlBudget.broken(figures));
  }

  @Test
  void givenAFigureThatGoesWithTheSquareWhenPredictedThenTheErrorIsNone() {
    ScaleFigure figure = new ScaleFigure("core_cpu_pct", 2);
    List<Map<String, Object>> runs = List.of(run(10), run(20), run(30));

    Map<String, Object> told = figure.predict(runs, run(100));

    assertEquals(10_000.0, told.get("predicted"));
    assertEquals(0.0, told.get("error_pct"));
  }

  private static Map<String, Object> run(int doors) {
    return Map.of("hollow_doors", doors, "core_cpu_pct", (double) doors * doors);
  }

  private static Map<String, Object> within() {
    Map<String, Object> figures = new LinkedHashMap<>();
    ControlBudget.ALL.forEach(budget -> figures.put(budget.figure(), budget.max()));
    return figures;
  }
}
